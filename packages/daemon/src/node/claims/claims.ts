import type { RequestFailure, Verdict } from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** A claim that this router won: it alone may dispatch the request. */
export interface WonClaim {
  /** Records the status that a target answered with. */
  recordStatus(status: number): void
  /** Records a failure; one that was not run leaves the key free again. */
  recordFailure(verdict: Verdict): void
}

/** Decides through the log which router dispatches a non-idempotent request. */
export interface Claims {
  /** Claims a request's idempotency key; the failure says what is known of it. */
  claim(
    request: RoutedRequest,
    idempotencyKey: string,
  ): Promise<Result<WonClaim, RequestFailure>>
  /** Appends to the log so far, and the records in them. */
  readonly appendCounts: { readonly appends: number; readonly records: number }
  stop(): Promise<void>
}
