import type { CacheLocation } from '../routing/createCacheLocations.js'

/** Cache locations that are sent until every peer has received them. */
export interface PendingUpdates {
  /** Returns the locations for the next digest; it takes `rounds` digests to reach every peer. */
  next(rounds: number): readonly CacheLocation[]
}

/** Locations in one digest, which must fit into a datagram of 64 KiB at about 27 bytes each. */
const MAX_LOCATIONS = 1_500

/** Creates pending updates; `takeUpdates` returns the locations added since its last call. */
export function createPendingUpdates(
  takeUpdates: () => CacheLocation[],
): PendingUpdates {
  let batches: CacheLocation[][] = []
  return {
    next(rounds) {
      batches = [...batches, takeUpdates()].slice(-Math.max(1, rounds))
      return batches.flat().slice(-MAX_LOCATIONS)
    },
  }
}
