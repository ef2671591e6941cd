import type { PromptPart } from './promptPart.js'

/** What a caller's request says besides its method, path and body. */
export interface CallerRequest {
  /** Names this attempt of the caller. */
  readonly attemptId: string
  readonly host: string
  readonly key?: string
  /** Milliseconds that the caller will wait. */
  readonly deadlineMs?: number
  /** The prompt's parts in order; the last is the request's own. */
  readonly promptParts: readonly PromptPart[]
  readonly lastEventId?: string
}
