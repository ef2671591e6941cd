import type {
  CollectRequest,
  CollectResponse,
  GrantRequest,
  GrantResponse,
  RequestFailure,
} from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetAddress } from '../targets/targetClient.js'
import type { RoutingExplanation } from './routingExplanation.js'

/** A request's place on a target; counts as load until it is released. */
export interface TargetSlot {
  readonly target: TargetAddress
  /** Hint that the caller sends with the chat's next request. */
  readonly hint?: string
  release(): void
}

/** Load of a target as a router knows it. */
export interface TargetStatus {
  readonly id: string
  readonly service: string
  readonly address: string
  /** Requests in flight. */
  readonly load: number
  /** Load the target may reach. */
  readonly bound: number
}

/** Chooses targets. */
export interface Routing {
  /** Places a request on a target that is not in `exclude`. */
  place(
    request: RoutedRequest,
    exclude: ReadonlySet<string>,
  ): Promise<Result<TargetSlot, RequestFailure>>
  status(): TargetStatus[]
  /** Says where the chat's next request would go and why; places nothing. */
  explain(service: string, customer: string, chat: string): RoutingExplanation
  /** Requests in flight from this router, by target. */
  ownInFlight(): Record<string, number>
}

/** Routing that also serves other routers as the home of groups. */
export interface CoordinatorRouting extends Routing {
  onGrant(ask: GrantRequest): GrantResponse
  onCollect(ask: CollectRequest): CollectResponse
  /** Engines of the groups that this router is the home of; `resting` adds those of groups out of use. */
  coordinatedTargets(resting: boolean): readonly TargetAddress[]
  stop(): Promise<void>
}
