/** Where the knowledge of a chat's target comes from. */
export enum HintSource {
  /** No hint: the chat's own order of targets decides. */
  None = 'none',
  /** The signed hint that the caller sent. */
  Caller = 'caller',
  /** The index built from the targets' cache events. */
  CacheEvents = 'cache-events',
}

/** One target as the choice for a chat sees it. */
export interface ExplainedTarget {
  readonly id: string
  /** Requests in flight. */
  readonly load: number
  /** Load the target may reach. */
  readonly bound: number
  /** Whether the target may take new work at all. */
  readonly eligible: boolean
}

/** Why a chat's next request would go where it would go. */
export interface RoutingExplanation {
  readonly service: string
  readonly customer: string
  readonly chat: string
  readonly hintSource: HintSource
  /** Target that the hint names. */
  readonly hintedTarget?: string
  /** Router that grants places on the chat's group of targets. */
  readonly home?: string
  /** In the order in which they are tried. */
  readonly candidates: readonly ExplainedTarget[]
  /** Absent when no target can take the request. */
  readonly chosen?: string
}
