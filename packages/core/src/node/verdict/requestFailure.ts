import type { FailureCode } from './failureCode.js'
import type { Verdict } from './verdict.js'

/** A failed request as the caller is told of it. */
export interface RequestFailure {
  readonly verdict: Verdict
  readonly code: FailureCode
  /** HTTP status of the answer. */
  readonly status: number
  /** What went wrong and what to do next. */
  readonly message: string
  /** Seconds after which the caller should try again. */
  readonly retryAfterS?: number
}
