/** Counts of requests in flight from this router, by target. */
export interface InFlightCounts {
  get(targetId: string): number
  add(targetId: string, change: number): void
  toRecord(): Record<string, number>
}

/** Creates empty counts. */
export function createInFlightCounts(): InFlightCounts {
  const counts = new Map<string, number>()
  return {
    get: (targetId) => counts.get(targetId) ?? 0,
    add(targetId, change) {
      const count = (counts.get(targetId) ?? 0) + change
      if (count === 0) counts.delete(targetId)
      else counts.set(targetId, count)
    },
    toRecord: () => Object.fromEntries(counts),
  }
}
