/** Selects the peers that the next digest reports on. */
export interface PeerReports {
  /** Reports a peer first, as its state has changed. */
  prioritize(router: string): void
  /** Returns routers that have changed, and a few of the others in turn. */
  next(routers: readonly string[]): string[]
}

/** Digests that report a change, as datagrams are lost. */
const CHANGE_DIGESTS = 3
/** Changes in one digest, for each of the other peers in it. */
const CHANGES_PER_REPORT = 3

/**
 * Creates a selection without changes.
 * @param maxReports Peers without a change in one digest, at about 35 bytes each.
 */
export function createPeerReports(maxReports: number): PeerReports {
  const remaining = new Map<string, number>()
  let cursor = 0

  /** Returns the latest changes: earlier ones were reported or follow in turn. */
  function takeChanged(): string[] {
    const changed = [...remaining].slice(-maxReports * CHANGES_PER_REPORT)
    for (const [router, digests] of changed) {
      if (digests > 1) remaining.set(router, digests - 1)
      else remaining.delete(router)
    }
    return changed.map(([router]) => router)
  }

  return {
    prioritize(router) {
      remaining.delete(router)
      remaining.set(router, CHANGE_DIGESTS)
    },
    next(routers) {
      const selected = new Set(takeChanged())
      // Changes must not keep the others from being reported in time.
      const count = Math.min(maxReports, routers.length)
      for (let i = 0; i < count; i += 1) {
        cursor = (cursor + 1) % routers.length
        const router = routers[cursor]
        if (router !== undefined) selected.add(router)
      }
      return [...selected]
    },
  }
}
