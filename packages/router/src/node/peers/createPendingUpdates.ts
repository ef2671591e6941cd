/** Updates that are sent until every peer has received them. */
export interface PendingUpdates<T> {
  /** Returns the updates for the next digest; it takes `rounds` digests to reach every peer. */
  next(rounds: number): readonly T[]
}

/** Updates in one digest: cache locations of 27 bytes and streams of 9 must fit into a datagram of 64 KiB. */
const MAX_UPDATES = 1_500

/**
 * Creates pending updates.
 * @param takeUpdates Returns those added since its last call.
 * @param maxUpdates Updates in one digest, the latest ones.
 * @default MAX_UPDATES
 */
export function createPendingUpdates<T>(
  takeUpdates: () => T[],
  maxUpdates = MAX_UPDATES,
): PendingUpdates<T> {
  let batches: T[][] = []
  return {
    next(rounds) {
      batches = [...batches, takeUpdates()].slice(-Math.max(1, rounds))
      return batches.flat().slice(-maxUpdates)
    },
  }
}
