import type { BufferLease } from '@auburnbay/http-utils/createBufferBudget'
import type { Customer } from '../configuration/customer.js'
import type { Route } from '../configuration/route.js'
import type { RelayedRequest } from '../peers/relayedRequest.js'
import type { CallerRequest } from './callerRequest.js'

/** An admitted request while it is being forwarded to targets. */
export interface Call {
  readonly request: CallerRequest
  readonly method: string
  /** Path and query as received, not normalised. */
  readonly path: string
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  /** Memory that the body and what is buffered of responses count against. */
  readonly memory: BufferLease
  readonly route: Route
  /** Service selected by the weights of the route. */
  readonly service: string
  readonly customer?: Customer
  /** Software version that began the stream which the caller resumes. */
  readonly softwareVersion?: string
  /** Deadline of the final response on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number
  /** Set if a peer relays the request, which must not be relayed again. */
  readonly relayed?: RelayedRequest
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal
}
