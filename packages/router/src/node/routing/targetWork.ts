/** What routers have under way at a target. */
export interface TargetWork {
  /** Requests in flight. */
  readonly requests: number
  /** Prompt tokens that the target has to read before those requests begin to answer. */
  readonly unreadTokens: number
}

/** Work under way, by target id. */
export type WorkByTarget = ReadonlyMap<string, TargetWork>

/** A target without work. */
export const NO_WORK: TargetWork = { requests: 0, unreadTokens: 0 }
