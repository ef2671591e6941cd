/** How long the last requests of each route have taken. */
export interface RouteDurations {
  record(route: string, ms: number): void
  /** Returns the time within which most of them ended, in milliseconds; undefined if there was none. */
  mostWithinMs(route: string): number | undefined
}

/** Requests of a route that are remembered. */
const MAX_DURATIONS = 64
/** Part of the requests that end within the returned time: fewer would be cut, more refused without need. */
const MOST = 0.9

interface Ring {
  readonly durationsMs: number[]
  next: number
}

/** Creates a table without requests. */
export function createRouteDurations(): RouteDurations {
  const rings = new Map<string, Ring>()
  return {
    record(route, ms) {
      const ring = rings.get(route) ?? { durationsMs: [], next: 0 }
      rings.set(route, ring)
      ring.durationsMs[ring.next] = ms
      ring.next = (ring.next + 1) % MAX_DURATIONS
    },
    mostWithinMs(route) {
      const sorted = rings.get(route)?.durationsMs.toSorted((a, b) => a - b)
      return sorted?.[Math.ceil(MOST * sorted.length) - 1]
    },
  }
}
