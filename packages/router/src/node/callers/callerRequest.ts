import type { PromptPart } from './promptPart.js'

/** Request metadata besides method, path and body. */
export interface CallerRequest {
  /** Identifies this attempt of the caller. */
  readonly attemptId: string
  readonly host: string
  readonly key?: string
  /** Time that the caller waits for the response, in milliseconds. */
  readonly deadlineMs?: number
  /** Parts of the prompt in order; only the last is unique to this request. */
  readonly promptParts: readonly PromptPart[]
  /** Last event that the caller received, of a stream to be resumed. */
  readonly lastEventId?: string
  /** Attempt whose response had the first event of that stream. */
  readonly resumedAttemptId?: string
}
