/** Requests in flight from this router, by target. */
export interface InFlight {
  of(targetId: string): number
  add(targetId: string, change: number): void
  all(): Record<string, number>
}

/** Creates empty counts. */
export function createInFlight(): InFlight {
  const counts = new Map<string, number>()
  return {
    of: (targetId) => counts.get(targetId) ?? 0,
    add(targetId, change) {
      const count = (counts.get(targetId) ?? 0) + change
      if (count === 0) counts.delete(targetId)
      else counts.set(targetId, count)
    },
    all: () => Object.fromEntries(counts),
  }
}
