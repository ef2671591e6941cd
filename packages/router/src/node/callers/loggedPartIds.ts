import type { PromptPart } from './promptPart.js'
import { sharedPartIds } from './sharedPartIds.js'

/** Prompt parts that a log line names. */
const MAX_PARTS = 16

/** Returns the ids of the parts that other requests may have too, for a log line. */
export function loggedPartIds(parts: readonly PromptPart[]): string {
  return sharedPartIds(parts).slice(0, MAX_PARTS).join()
}
