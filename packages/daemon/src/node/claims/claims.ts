import type { RequestFailure, Verdict } from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** A claim won by this router, which alone may dispatch the request. */
export interface WonClaim {
  /** Records the status of the target's response. */
  recordStatus(status: number): void
  /** Records a failure; `Verdict.NotRun` releases the key. */
  recordFailure(verdict: Verdict): void
}

/** Decides through the log which router dispatches a non-idempotent request. */
export interface Claims {
  /** Claims an idempotency key; a failure reports what is known about the key. */
  claim(
    request: RoutedRequest,
    idempotencyKey: string,
  ): Promise<Result<WonClaim, RequestFailure>>
  /** Number of appends to the log so far, and of the records in them. */
  readonly appendCounts: { readonly appends: number; readonly records: number }
  stop(): Promise<void>
}
