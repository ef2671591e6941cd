import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { CustomerRates } from '../limits/customerLimits.js'

/** Leave to run; counts against limits until it is released. */
export interface Admitted {
  release(): void
}

/** Decides when a request may run, in order of urgency. */
export interface Admission {
  /** Waits for the request's turn. */
  enter(request: RoutedRequest): Promise<Result<Admitted, RequestFailure>>
  /** Requests that run. */
  readonly running: number
  /** Requests that wait. */
  readonly waiting: number
  /** Requests that wait or run, by customer. */
  inFlightByCustomer(): Record<string, number>
  /** Requests of late of each customer with a rate. */
  ratesByCustomer(): CustomerRates
  /** Holds the queue of a service back while `wait` goes on. */
  holdBack<T>(service: string, wait: () => Promise<T>): Promise<T>
  stop(): Promise<void>
}
