import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'

/** Counts of requests by customer, within the windows of their rates. */
export interface CustomerRates {
  readonly started: Record<string, number>
  /** Refused requests included. */
  readonly asked: Record<string, number>
}

/** Holds customers to their limits over the whole fleet. */
export interface CustomerLimits {
  /** Counts one request in; the returned function counts it out. */
  take(customer: string): Result<() => void, RequestFailure>
  /** Requests in flight from this router, by customer. */
  inFlight(): Record<string, number>
  /** Requests of late of each customer with a rate. */
  rates(): CustomerRates
}
