/** Milliseconds for which a peer may have other records: several digests, in which new ones are on their way. */
const MAX_DIFFERENCE_MS = 1_000

/** Finds peers that have had other records than this router for long. */
export interface RecordsComparison {
  /** Compares the fingerprints of a peer's records and of this router's; returns whether records were missed. */
  hasMissed(
    router: string,
    peerFingerprint: number,
    ownFingerprint: number,
    nowMs: number,
  ): boolean
  /** Records that a peer's records were fetched. */
  recordFetched(router: string): void
}

/** Creates a comparison without peers. */
export function createRecordsComparison(): RecordsComparison {
  const differentSinceMs = new Map<string, number>()
  return {
    hasMissed(router, peerFingerprint, ownFingerprint, nowMs) {
      if (peerFingerprint === ownFingerprint) {
        differentSinceMs.delete(router)
        return false
      }
      const sinceMs = differentSinceMs.get(router) ?? nowMs
      differentSinceMs.set(router, sinceMs)
      return nowMs - sinceMs >= MAX_DIFFERENCE_MS
    },
    recordFetched(router) {
      differentSinceMs.delete(router)
    },
  }
}
