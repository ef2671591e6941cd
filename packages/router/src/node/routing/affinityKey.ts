import type { PromptPart } from '../callers/promptPart.js'

/**
 * Returns the key that requests with the same shared prompt have in common:
 * the id of the part before the last, as the last one belongs to the request alone.
 */
export function affinityKey(parts: readonly PromptPart[]): string | undefined {
  return parts.at(-2)?.id ?? parts.at(-1)?.id
}
