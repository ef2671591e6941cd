import type { PromptPart } from './promptPart.js'

/** Returns the ids of the parts that other requests may have too: all but the last. */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({ id }) => id)
}
