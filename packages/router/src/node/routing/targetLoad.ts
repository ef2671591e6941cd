/** What routers have under way at a target. */
export interface TargetLoad {
  /** Requests in flight. */
  readonly requests: number
  /** Prompt tokens that the target has to read before those requests begin to answer. */
  readonly pendingPromptTokens: number
}

/** Work under way, by target id. */
export type LoadByTarget = ReadonlyMap<string, TargetLoad>

/** A target without work. */
export const NO_LOAD: TargetLoad = { requests: 0, pendingPromptTokens: 0 }
