import type { PeerReport } from '../membership/peerReport.js'
import { hasStatus, PeerStatus } from '../membership/peerStatus.js'
import { hasReported } from '../membership/statusOf.js'
import type { PeerAddress } from './peerAddress.js'
import type { PeerDigest } from './peerDigest.js'

/** Another router of the fleet. */
export interface Peer {
  readonly router: string
  readonly address: PeerAddress
  /** Monotonic time of its last digest in milliseconds; -Infinity before any. */
  receivedAtMs: number
  /** Monotonic time of the last digest sent to it, in milliseconds. */
  sentAtMs: number
  digest?: PeerDigest
  /** What another router reported of it last. */
  report?: PeerReport
  /** Whether it was lost since it was heard last. */
  isLost?: boolean
}

/** The known peers of this router. */
export interface PeerTable {
  /** Records a peer's address from the router directory. */
  addListed(router: string, address: PeerAddress, nowMs: number): void
  /** Records a digest; returns whether it is newer than the peer's last one. */
  update(digest: PeerDigest, host: string, nowMs: number): boolean
  /** Records what another router reported; returns whether the peer was lost by it, or found that was not expected. */
  merge(report: PeerReport, nowMs: number): boolean
  /** Counts a peer as lost until it is heard again. */
  markLost(router: string): void
  /** Returns a peer that is not lost. */
  find(router: string, nowMs: number): Peer | undefined
  /** Whether a peer is not lost, or was listed and had no time yet to be heard. */
  isPresent(router: string, nowMs: number): boolean
  /** Returns a known peer, lost or not. */
  get(router: string): Peer | undefined
  /** Returns up to `max` peers that a digest is due for, and records that it is sent. */
  takeDue(nowMs: number, max: number): Peer[]
  /** Returns a peer that was lost or never heard and that a digest is due for, and records that it is sent. */
  takeProbe(nowMs: number): Peer | undefined
  /** Returns the peers that are neither lost nor stopping. */
  livePeers(nowMs: number): Peer[]
  /** Returns the live peers, and listed ones that had no time yet to be heard. */
  presentPeers(nowMs: number): Peer[]
  all(): Iterable<Peer>
  /** Removes expired peers and returns them. */
  expire(nowMs: number): Peer[]
  /** Excuses peers for a time in which this router itself was paused, in milliseconds. */
  extend(pauseMs: number, nowMs: number): void
}

/** Options for {@link createPeerTable}, in milliseconds. */
export interface PeerTableOptions {
  /** Returns the time without a sign of life after which a peer counts as lost. */
  readonly timeoutMs: () => number
  /** Interval of digests to a lost peer, so that it finds this router when it restarts. */
  readonly probeIntervalMs: number
  /** Time without a digest or a directory listing after which a peer is removed. */
  readonly expiryMs: number
}

/** Milliseconds for which a listed peer is expected to be heard; a member hears of each peer of a fleet of 300 in 15 s. */
const PRESUMED_MS = 15_000
/** Milliseconds by which the times in reports may differ: they are rounded, and take time to arrive. */
const REPORT_TOLERANCE_MS = 500
/** Routers that are remembered; four times the target size. */
const MAX_PEERS = 10_000

/** Returns the monotonic time of a peer's last sign of life, in milliseconds. */
export function heardAtMs({ receivedAtMs, report }: Peer): number {
  return Math.max(receivedAtMs, report?.heardAtMs ?? -Infinity)
}

/** Creates a table without peers. */
export function createPeerTable(options: PeerTableOptions): PeerTable {
  const { timeoutMs, probeIntervalMs, expiryMs } = options
  const peers = new Map<string, Peer>()
  const listedAtMs = new Map<string, number>()
  const firstListedAtMs = new Map<string, number>()

  function isLive(peer: Peer, nowMs: number): boolean {
    return peer.isLost !== true && nowMs - heardAtMs(peer) <= timeoutMs()
  }

  function isPresumed(peer: Peer, nowMs: number): boolean {
    if (peer.isLost === true || heardAtMs(peer) > -Infinity) return false
    const listedMs = firstListedAtMs.get(peer.router) ?? -Infinity
    return nowMs - listedMs <= PRESUMED_MS
  }

  const isPresent = (peer: Peer, nowMs: number): boolean =>
    isPresumed(peer, nowMs) || isLive(peer, nowMs)

  function isNewer(digest: PeerDigest, last: PeerDigest | undefined): boolean {
    if (last?.incarnation !== digest.incarnation) return true
    return digest.sequence > last.sequence
  }

  /** Whether a report is older than this router's knowledge of the peer. */
  function isOutdated(report: PeerReport, peer: Peer): boolean {
    const known = heardAtMs(peer)
    const isLost = hasStatus(report.status, PeerStatus.Lost)
    if (isLost) return report.heardAtMs < known - REPORT_TOLERANCE_MS
    const neededMs = peer.isLost === true ? REPORT_TOLERANCE_MS : 0
    return report.heardAtMs <= known + neededMs
  }

  return {
    addListed(router, address, nowMs) {
      const peer = peers.get(router)
      listedAtMs.set(router, nowMs)
      if (!firstListedAtMs.has(router)) firstListedAtMs.set(router, nowMs)
      if (peer && isLive(peer, nowMs)) return
      peers.set(router, {
        receivedAtMs: -Infinity,
        sentAtMs: -Infinity,
        ...peer,
        router,
        address,
      })
    },
    update(digest, host, nowMs) {
      const peer = peers.get(digest.router)
      if (peer && !isNewer(digest, peer.digest)) return false
      if (!peer && peers.size >= MAX_PEERS) return false
      peers.set(digest.router, {
        router: digest.router,
        address: { host, port: digest.port },
        receivedAtMs: nowMs,
        sentAtMs: peer?.sentAtMs ?? -Infinity,
        digest,
      })
      return true
    },
    merge(report, nowMs) {
      const { router, address } = report
      const isLost = hasStatus(report.status, PeerStatus.Lost)
      const peer = peers.get(router)
      if (peer && isOutdated(report, peer)) return false
      if (!peer && (isLost || peers.size >= MAX_PEERS)) return false
      const wasPresent = peer !== undefined && isPresent(peer, nowMs)
      const merged: Peer = {
        receivedAtMs: -Infinity,
        sentAtMs: -Infinity,
        ...peer,
        router,
        address,
        report,
        isLost,
      }
      peers.set(router, merged)
      return wasPresent !== isPresent(merged, nowMs)
    },
    markLost(router) {
      const peer = peers.get(router)
      if (peer) peer.isLost = true
    },
    find(router, nowMs) {
      const peer = peers.get(router)
      return peer && isLive(peer, nowMs) ? peer : undefined
    },
    isPresent(router, nowMs) {
      const peer = peers.get(router)
      return peer !== undefined && isPresent(peer, nowMs)
    },
    get: (router) => peers.get(router),
    takeDue(nowMs, max) {
      const due = [...peers.values()]
        .filter(
          (peer) =>
            isLive(peer, nowMs) || nowMs - peer.sentAtMs >= probeIntervalMs,
        )
        .sort((a, b) => a.sentAtMs - b.sentAtMs)
        .slice(0, max)
      for (const peer of due) peer.sentAtMs = nowMs
      return due
    },
    takeProbe(nowMs) {
      let probe: Peer | undefined
      for (const peer of peers.values()) {
        if (isLive(peer, nowMs)) continue
        if (nowMs - peer.sentAtMs < probeIntervalMs) continue
        if (!probe || peer.sentAtMs < probe.sentAtMs) probe = peer
      }
      if (probe) probe.sentAtMs = nowMs
      return probe
    },
    livePeers(nowMs) {
      return [...peers.values()].filter(
        (peer) =>
          isLive(peer, nowMs) && !hasReported(peer, PeerStatus.Stopping),
      )
    },
    presentPeers(nowMs) {
      return [...peers.values()].filter(
        (peer) =>
          isPresent(peer, nowMs) && !hasReported(peer, PeerStatus.Stopping),
      )
    },
    all: () => peers.values(),
    expire(nowMs) {
      const expired: Peer[] = []
      for (const peer of peers.values()) {
        const seenAtMs = Math.max(
          heardAtMs(peer),
          listedAtMs.get(peer.router) ?? -Infinity,
        )
        if (nowMs - seenAtMs <= expiryMs) continue
        peers.delete(peer.router)
        listedAtMs.delete(peer.router)
        firstListedAtMs.delete(peer.router)
        expired.push(peer)
      }
      return expired
    },
    extend(pauseMs, nowMs) {
      const extended = (atMs: number): number => Math.min(nowMs, atMs + pauseMs)
      for (const peer of peers.values()) {
        peer.receivedAtMs = extended(peer.receivedAtMs)
        if (!peer.report) continue
        const heardMs = extended(peer.report.heardAtMs)
        peer.report = { ...peer.report, heardAtMs: heardMs }
      }
    },
  }
}
