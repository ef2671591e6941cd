import type { Peer } from './createPeerTable.js'
import type { PeerDigest } from './peerDigest.js'

/** Returns the age of a reading that a digest tells, null before the first. */
export type ReadingAge = (digest: PeerDigest) => number | null

/** Routers that read for all the others. */
const READERS = 1

/**
 * Returns whether enough peers that go before `router` read for it: the routers
 * with the lowest names do, as long as their readings are young.
 */
export function isCovered(
  router: string,
  peers: readonly Peer[],
  ageOf: ReadingAge,
  maxAgeMs: number,
  nowMs: number,
): boolean {
  let readers = 0
  for (const peer of peers) {
    if (!peer.digest || peer.router >= router) continue
    const ageMs = (ageOf(peer.digest) ?? Infinity) + nowMs - peer.heardAtMs
    if (ageMs <= maxAgeMs) readers += 1
  }
  return readers >= READERS
}
