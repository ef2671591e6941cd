import type { Peer } from './createPeerTable.js'
import type { PeerDigest } from './peerDigest.js'

/** Returns the age of the last poll that a digest reports, null before the first. */
export type PollAge = (digest: PeerDigest) => number | null

/** Routers that poll for all the others. */
const READERS = 1

/**
 * Returns whether enough peers with lower names than `router` poll for it:
 * the routers with the lowest names are the readers while their last polls are fresh.
 */
export function hasFreshReader(
  router: string,
  peers: readonly Peer[],
  pollAge: PollAge,
  maxAgeMs: number,
  nowMs: number,
): boolean {
  let readers = 0
  for (const peer of peers) {
    if (!peer.digest || peer.router >= router) continue
    const ageMs = (pollAge(peer.digest) ?? Infinity) + nowMs - peer.receivedAtMs
    if (ageMs <= maxAgeMs) readers += 1
  }
  return readers >= READERS
}
