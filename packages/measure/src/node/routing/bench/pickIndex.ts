import type { Random } from './createRandom.js'

/** Draws an index with the given probabilities, which add up to 1. */
export function pickIndex(random: Random, shares: readonly number[]): number {
  let remaining = random.unit()
  for (const [index, share] of shares.entries()) {
    remaining -= share
    if (remaining < 0) return index
  }
  return shares.length - 1
}
