import type { GrantStatus } from './grantStatus.js'

/** One request that needs a place. */
export interface PlacementRequest {
  /** The chat's key; decides the order of the targets. */
  readonly key: string
  /** Index of the target that is believed to hold the chat. */
  readonly hint?: number
  /** Indexes of targets that must not be chosen. */
  readonly exclude: readonly number[]
}

/** What a router tells the home of a group, and the places it asks for. */
export interface GrantRequest {
  readonly group: string
  readonly membersHash: number
  readonly router: string
  /** Identity of this start of the router. */
  readonly incarnation: string
  /** Grows with each message; the home drops older ones. */
  readonly sequence: number
  /** Highest epoch that the router has accepted. */
  readonly epoch: number
  /** Requests in flight from this router, by target; the whole truth. */
  readonly used: readonly number[]
  /** Unused credits that this router still holds, by target. */
  readonly credits: readonly number[]
  /** Requests that ended since the last message. */
  readonly finished: number
  readonly wants: readonly PlacementRequest[]
}

/** The home's answer. */
export interface GrantResponse {
  readonly status: GrantStatus
  /** Credits of lower epochs are void. */
  readonly epoch: number
  /** Index of the granted target for each want; -1 for none. */
  readonly granted: readonly number[]
  /** Credits lent in advance, by target. */
  readonly loans: readonly number[]
}

/** A new home collects what routers have in flight before it grants. */
export interface CollectRequest {
  readonly group: string
  readonly membersHash: number
  readonly home: string
  readonly epoch: number
}

/** A router's answer to a new home. */
export interface CollectResponse {
  /** Whether the router obeys the new epoch from now on. */
  readonly accepted: boolean
  /** Highest epoch that the router has accepted. */
  readonly epoch: number
  readonly router: string
  readonly incarnation: string
  /** Requests in flight from this router, by target. */
  readonly used: readonly number[]
}
