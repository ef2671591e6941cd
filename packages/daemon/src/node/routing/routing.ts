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

/** A request's slot on a target; counts as load until it is released. */
export interface TargetSlot {
  readonly target: TargetAddress
  /** Hint that the caller sends with the chat's next request. */
  readonly hint?: string
  release(): void
}

/** Load of a target according to the latest digests. */
export interface TargetStatus {
  readonly id: string
  readonly service: string
  readonly address: string
  /** Requests in flight. */
  readonly load: number
  /** Maximum load of the target. */
  readonly bound: number
}

/** Selects targets for requests. */
export interface Routing {
  /** Acquires a slot on a target that is not in `exclude`. */
  selectTarget(
    request: RoutedRequest,
    exclude: ReadonlySet<string>,
  ): Promise<Result<TargetSlot, RequestFailure>>
  /** Lists all targets with their loads. */
  status(): TargetStatus[]
  /** Explains where the chat's next request would go; acquires no slot. */
  explain(service: string, customer: string, chat: string): RoutingExplanation
  /** Number of requests in flight from this router by target. */
  ownInFlight(): Record<string, number>
}

/** Routing that also serves its peers as the coordinator of groups. */
export interface CoordinatorRouting extends Routing {
  /** Handles a peer's request for slots; rejected by a non-coordinator. */
  handleGrantRequest(request: GrantRequest): GrantResponse
  /** Returns this router's in-flight counts to a new coordinator. */
  handleCollectRequest(request: CollectRequest): CollectResponse
  /** Engines of groups coordinated here; `includeIdle` adds idle groups. */
  coordinatedTargets(includeIdle: boolean): readonly TargetAddress[]
  stop(): Promise<void>
}
