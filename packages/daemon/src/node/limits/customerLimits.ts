import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'

/** Holds customers to their limits over the whole fleet. */
export interface CustomerLimits {
  /** Counts one request in; the returned function counts it out. */
  take(customer: string): Result<() => void, RequestFailure>
  /** Requests in flight from this router, by customer. */
  inFlight(): Record<string, number>
  /** Requests started within the window of the customer's rate. */
  started(): Record<string, number>
}
