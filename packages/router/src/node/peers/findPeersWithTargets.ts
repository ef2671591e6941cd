import { hasStatus, PeerStatus } from '../membership/peerStatus.js'
import { newerReport } from '../membership/statusOf.js'
import type { Peer } from './createPeerTable.js'

/** Milliseconds since its last response from a target up to which a peer reaches targets. */
const MAX_RESPONSE_AGE_MS = 3_000

/** Returns the peers that reached a target lately and have a configuration version, or a later one. */
export function findPeersWithTargets(
  peers: readonly Peer[],
  configurationVersion: number,
  nowMs: number,
): Peer[] {
  return peers.filter((peer) => {
    const { digest, receivedAtMs } = peer
    const report = newerReport(peer)
    if (report)
      return (
        hasStatus(report.status, PeerStatus.ReachesTargets) &&
        report.configurationVersion >= configurationVersion
      )
    const responseMs = digest?.targetResponseMs ?? null
    if (!digest || responseMs === null) return false
    if (digest.configurationVersion < configurationVersion) return false
    return responseMs + nowMs - receivedAtMs <= MAX_RESPONSE_AGE_MS
  })
}
