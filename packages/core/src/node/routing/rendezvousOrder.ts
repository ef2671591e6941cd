import { hash32 } from '../hash/hash32.js'

/** A target with its relative capacity. */
export interface WeightedTarget {
  readonly id: string
  readonly weight: number
}

const HASH_RANGE = 2 ** 32

function score(key: string, target: WeightedTarget): number {
  const unit = (hash32(`${key}\n${target.id}`) + 0.5) / HASH_RANGE
  return -target.weight / Math.log(unit)
}

/** Orders targets by weighted rendezvous hashing of `key`, best first. */
export function rendezvousOrder<T extends WeightedTarget>(
  key: string,
  targets: readonly T[],
): T[] {
  const scored = targets.map((target) => ({
    target,
    score: score(key, target),
  }))
  scored.sort((a, b) => b.score - a.score)
  return scored.map((entry) => entry.target)
}
