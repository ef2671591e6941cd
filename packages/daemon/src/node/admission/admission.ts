import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { CustomerRates } from '../limits/customerLimits.js'

/** Permission to run; counts against the limits until it is released. */
export interface AdmissionPermit {
  release(): void
}

/** Admission control: decides when each request may run, by rank. */
export interface Admission {
  /** Queues the request and resolves once it may run or has left the queue. */
  admit(
    request: RoutedRequest,
  ): Promise<Result<AdmissionPermit, RequestFailure>>
  /** Number of running requests. */
  readonly running: number
  /** Number of queued requests. */
  readonly waiting: number
  /** Number of queued or running requests by customer. */
  inFlightByCustomer(): Record<string, number>
  /** Requests of each customer with a rate limit, within its rate window. */
  ratesByCustomer(): CustomerRates
  /** Starts no queued request of the service until `wait` settles. */
  pauseDuring<T>(service: string, wait: () => Promise<T>): Promise<T>
  stop(): Promise<void>
}
