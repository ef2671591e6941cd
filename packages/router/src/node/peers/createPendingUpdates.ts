import type { CacheLocation } from '../routing/createCacheLocations.js'

/** Placements that are told until every peer has heard them. */
export interface PendingUpdates {
  /** Returns what the next digest tells, when `tellings` of them reach all peers. */
  next(tellings: number): readonly CacheLocation[]
}

/** Creates batches of what `take` returns for each digest. */
export function createPendingUpdates(
  take: () => CacheLocation[],
): PendingUpdates {
  let batches: CacheLocation[][] = []
  return {
    next(tellings) {
      batches = [...batches, take()].slice(-Math.max(1, tellings))
      return batches.flat()
    },
  }
}
