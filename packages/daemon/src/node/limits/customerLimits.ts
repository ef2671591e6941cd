import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'

/** Number of requests by customer within their rate windows. */
export interface CustomerRates {
  /** Admitted requests. */
  readonly started: Record<string, number>
  /** Received requests, rejected ones included. */
  readonly asked: Record<string, number>
}

/** Enforces the limits of customers over the whole fleet. */
export interface CustomerLimits {
  /** Counts one request; the returned function ends its time in flight. */
  acquire(customer: string): Result<() => void, RequestFailure>
  /** Number of requests in flight from this router by customer. */
  inFlight(): Record<string, number>
  /** Requests of each customer with a rate limit, within its rate window. */
  rates(): CustomerRates
}
