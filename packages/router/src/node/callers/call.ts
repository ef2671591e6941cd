import type { Customer } from '../configuration/customer.js'
import type { Route } from '../configuration/route.js'
import type { CallerRequest } from './callerRequest.js'

/** A caller's request on its way to a target. */
export interface Call {
  readonly request: CallerRequest
  readonly method: string
  /** Path and query as the caller wrote them. */
  readonly path: string
  /** Names and values, alternating, as the caller wrote them. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly route: Route
  /** Service that the route's weights chose. */
  readonly service: string
  readonly customer?: Customer
  /** Steady time at which the final answer is due, in milliseconds. */
  readonly dueAtMs: number
  /** Aborted once the caller has gone or the answer is overdue. */
  readonly signal: AbortSignal
}
