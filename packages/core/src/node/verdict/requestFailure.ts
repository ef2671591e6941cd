import type { FailureCode } from './failureCode.js'
import type { Verdict } from './verdict.js'

/** Failure of a request as reported to the caller. */
export interface RequestFailure {
  readonly verdict: Verdict
  readonly code: FailureCode
  /** HTTP status of the response. */
  readonly status: number
  /** What went wrong and what the caller can do. */
  readonly message: string
  /** Seconds after which the caller should retry. */
  readonly retryAfterS?: number
}
