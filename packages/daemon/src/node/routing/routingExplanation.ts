/** Source of the hint about a chat's target. */
export enum HintSource {
  /** No hint: the rendezvous order of the chat's key decides. */
  None = 'none',
  /** The signed hint that the caller sent. */
  Caller = 'caller',
  /** The index built from the targets' cache events. */
  CacheEvents = 'cache-events',
}

/** A candidate target for a chat. */
export interface ExplainedTarget {
  readonly id: string
  /** Requests in flight. */
  readonly load: number
  /** Maximum load of the target. */
  readonly bound: number
  /** Whether the target accepts new requests. */
  readonly eligible: boolean
}

/** Explains which target a chat's next request would be sent to. */
export interface RoutingExplanation {
  readonly service: string
  readonly customer: string
  readonly chat: string
  readonly hintSource: HintSource
  /** Target that the hint names. */
  readonly hintedTarget?: string
  /** Coordinator of the chat's target group. */
  readonly home?: string
  /** Candidates in the order in which they are tried. */
  readonly candidates: readonly ExplainedTarget[]
  /** Absent when no target can take the request. */
  readonly chosen?: string
}
