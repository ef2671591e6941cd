/** Load of a target, from the requests that routers have in flight there. */
export interface TargetLoad {
  /** Requests in flight. */
  readonly requests: number
  /** Prompt tokens of those requests that the target has not prefilled yet. */
  readonly pendingPromptTokens: number
}

/** Load by target id. */
export type LoadByTarget = ReadonlyMap<string, TargetLoad>

/** Load of a target without requests. */
export const NO_LOAD: TargetLoad = { requests: 0, pendingPromptTokens: 0 }
