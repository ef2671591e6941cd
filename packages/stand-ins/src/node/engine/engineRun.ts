/** One execution, as the engine itself records it. */
export interface EngineRun {
  readonly runId: string
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly chat: string
  readonly cacheHit: boolean
  finished: boolean
}
