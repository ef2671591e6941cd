import type { Peer } from '../peers/createPeerTable.js'
import { findPeersWithTargets } from '../peers/findPeersWithTargets.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import type { PeerReport } from './peerReport.js'
import { hasStatus, PeerStatus } from './peerStatus.js'

/** Digests that a router sends within 5 s of its start, at least. */
const ESTABLISHED_DIGESTS = 25

/** Returns the report on a peer if it is more recent than the peer's own last digest. */
export function newerReport({
  receivedAtMs,
  report,
}: Peer): PeerReport | undefined {
  return report && report.heardAtMs > receivedAtMs ? report : undefined
}

function digestBits(digest: PeerDigest | undefined): number {
  if (!digest) return 0
  let bits = 0
  if (digest.stopping) bits |= PeerStatus.Stopping
  if (digest.sequence > ESTABLISHED_DIGESTS) bits |= PeerStatus.Established
  if (digest.link === null) bits |= PeerStatus.EarlierRelease
  return bits
}

const REPORTED_BITS =
  PeerStatus.Stopping | PeerStatus.Established | PeerStatus.EarlierRelease

/** Returns what this router knows of a peer, as bits of {@link PeerStatus}. */
export function statusOf(
  peer: Peer,
  configurationVersion: number,
  nowMs: number,
): number {
  const report = newerReport(peer)
  let bits = report ? report.status & REPORTED_BITS : digestBits(peer.digest)
  if (peer.isLost === true) bits |= PeerStatus.Lost
  if (findPeersWithTargets([peer], 0, nowMs).length > 0)
    bits |= PeerStatus.ReachesTargets
  const version = report
    ? report.configurationVersion
    : (peer.digest?.configurationVersion ?? 0)
  if (version >= configurationVersion) bits |= PeerStatus.CurrentConfiguration
  return bits
}

/** Whether a peer's last status has a bit that does not depend on this router. */
export function hasReported(
  peer: Peer,
  bit: PeerStatus.Stopping | PeerStatus.Established | PeerStatus.EarlierRelease,
): boolean {
  const report = newerReport(peer)
  return hasStatus(report ? report.status : digestBits(peer.digest), bit)
}
