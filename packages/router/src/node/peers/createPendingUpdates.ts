/** Updates that are sent until every peer has received them. */
export interface PendingUpdates<T> {
  /** Returns the updates for the next digest; it takes `rounds` digests to reach every peer. */
  next(rounds: number): readonly T[]
}

/** Updates in one digest: cache locations of 27 bytes and streams of 9 must fit into a datagram of 64 KiB. */
const MAX_UPDATES = 1_500

/** Creates pending updates; `takeUpdates` returns those added since its last call. */
export function createPendingUpdates<T>(
  takeUpdates: () => T[],
): PendingUpdates<T> {
  let batches: T[][] = []
  return {
    next(rounds) {
      batches = [...batches, takeUpdates()].slice(-Math.max(1, rounds))
      return batches.flat().slice(-MAX_UPDATES)
    },
  }
}
