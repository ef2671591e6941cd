/** Requests in flight at each target, by target id. */
export type InFlightCounts = ReadonlyMap<string, number>

/** Requests in flight at targets, from this router and its peers. */
export interface FleetLoad {
  started(targetId: string): void
  ended(targetId: string): void
  /** Requests that this router has in flight. */
  own(): InFlightCounts
  /** Takes in a peer's counts. */
  heard(router: string, counts: InFlightCounts, nowMs: number): void
  /** Requests that all routers have in flight at a target. */
  total(targetId: string, nowMs: number): number
}

interface PeerCounts {
  readonly counts: InFlightCounts
  readonly heardAtMs: number
}

/**
 * Creates an empty load.
 * @param staleMs Milliseconds after which a peer's counts are no longer used.
 */
export function createFleetLoad(staleMs: () => number): FleetLoad {
  const own = new Map<string, number>()
  const peers = new Map<string, PeerCounts>()

  return {
    started(targetId) {
      own.set(targetId, (own.get(targetId) ?? 0) + 1)
    },
    ended(targetId) {
      const count = (own.get(targetId) ?? 0) - 1
      if (count > 0) own.set(targetId, count)
      else own.delete(targetId)
    },
    own: () => own,
    heard(router, counts, nowMs) {
      peers.set(router, { counts, heardAtMs: nowMs })
    },
    total(targetId, nowMs) {
      const limitMs = staleMs()
      let total = own.get(targetId) ?? 0
      for (const [router, { counts, heardAtMs }] of peers) {
        if (nowMs - heardAtMs > limitMs) peers.delete(router)
        else total += counts.get(targetId) ?? 0
      }
      return total
    },
  }
}
