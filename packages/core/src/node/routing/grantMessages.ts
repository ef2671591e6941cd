import type { GrantStatus } from './grantStatus.js'

/** A request that needs a slot on a target. */
export interface PlacementRequest {
  /** Key of the chat; decides the order of the targets. */
  readonly key: string
  /** Index of the target that probably has the chat's prompt cache. */
  readonly hint?: number
  /** Indexes of targets that must not be selected. */
  readonly exclude: readonly number[]
}

/** Reports a router's usage to the coordinator of a group and requests slots. */
export interface GrantRequest {
  readonly group: string
  readonly membersHash: number
  readonly router: string
  /** Identifies one start of the router. */
  readonly incarnation: string
  /** Increases with each message; the coordinator drops older ones. */
  readonly sequence: number
  /** Highest epoch that the router has accepted. */
  readonly epoch: number
  /** All requests in flight from this router, by target. */
  readonly used: readonly number[]
  /** Unused credits that this router holds, by target. */
  readonly credits: readonly number[]
  /** Requests that ended since the previous message. */
  readonly finished: number
  readonly wants: readonly PlacementRequest[]
}

/** The coordinator's response to a {@link GrantRequest}. */
export interface GrantResponse {
  readonly status: GrantStatus
  /** Credits of lower epochs are void. */
  readonly epoch: number
  /** Index of the granted target for each entry of `wants`; -1 for none. */
  readonly granted: readonly number[]
  /** Credits granted in advance, by target. */
  readonly loans: readonly number[]
}

/** Requests a router's in-flight counts before a new coordinator grants slots. */
export interface CollectRequest {
  readonly group: string
  readonly membersHash: number
  /** Router that is the new coordinator. */
  readonly home: string
  readonly epoch: number
}

/** A router's response to a new coordinator. */
export interface CollectResponse {
  /** Whether the router accepts the new epoch. */
  readonly accepted: boolean
  /** Highest epoch that the router has accepted. */
  readonly epoch: number
  readonly router: string
  readonly incarnation: string
  /** Requests in flight from this router, by target. */
  readonly used: readonly number[]
}
