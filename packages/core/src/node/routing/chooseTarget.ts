import { rendezvousOrder, type WeightedTarget } from './rendezvousOrder.js'

/** A target with its known load. */
export interface LoadedTarget extends WeightedTarget {
  /** Requests in flight. */
  readonly load: number
}

/** Returns the load a target may reach: factor times the mean, plus one. */
export function loadBound(
  targets: readonly LoadedTarget[],
  maxLoadFactor: number,
): number {
  let total = 0
  for (const target of targets) total += target.load
  return (maxLoadFactor * (total + 1)) / targets.length + 1
}

/**
 * Chooses the first target in the key's rendezvous order that stays within the
 * load bound (consistent hashing with bounded loads).
 */
export function chooseTarget(
  key: string,
  targets: readonly LoadedTarget[],
  maxLoadFactor: number,
): LoadedTarget | undefined {
  const bound = loadBound(targets, maxLoadFactor)
  for (const target of rendezvousOrder(key, targets)) {
    if (target.load + 1 <= bound) return target
  }
  return undefined
}
