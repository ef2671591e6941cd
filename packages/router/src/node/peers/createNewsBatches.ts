import type { Placement } from '../routing/createPlacements.js'

/** Placements that are told until every peer has heard them. */
export interface NewsBatches {
  /** Returns what the next digest tells, when `tellings` of them reach all peers. */
  next(tellings: number): readonly Placement[]
}

/** Creates batches of what `take` returns for each digest. */
export function createNewsBatches(take: () => Placement[]): NewsBatches {
  let batches: Placement[][] = []
  return {
    next(tellings) {
      batches = [...batches, take()].slice(-Math.max(1, tellings))
      return batches.flat()
    },
  }
}
