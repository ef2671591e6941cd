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
}

/** The known peers of this router. */
export interface PeerTable {
  /** Records a peer's address from the router directory. */
  addListed(router: string, address: PeerAddress, nowMs: number): void
  /** Records a digest; returns whether it is newer than the peer's last one. */
  update(digest: PeerDigest, host: string, nowMs: number): boolean
  /** Returns a peer that is not lost. */
  find(router: string, nowMs: number): Peer | undefined
  /** Returns up to `max` peers that a digest is due for, and records that it is sent. */
  takeDue(nowMs: number, max: number): Peer[]
  /** Returns the peers that are neither lost nor stopping. */
  livePeers(nowMs: number): Peer[]
  /** Removes expired peers and returns them. */
  expire(nowMs: number): Peer[]
}

/** Options for {@link createPeerTable}, in milliseconds. */
export interface PeerTableOptions {
  /** Time without a digest after which a peer counts as lost. */
  readonly timeoutMs: number
  /** Interval of digests to a lost peer, so that it finds this router when it restarts. */
  readonly probeIntervalMs: number
  /** Time without a digest or a directory listing after which a peer is removed. */
  readonly expiryMs: number
}

/** Creates a table without peers. */
export function createPeerTable(options: PeerTableOptions): PeerTable {
  const { timeoutMs, probeIntervalMs, expiryMs } = options
  const peers = new Map<string, Peer>()
  const listedAtMs = new Map<string, number>()

  function isLive(peer: Peer, nowMs: number): boolean {
    return nowMs - peer.receivedAtMs <= timeoutMs
  }

  function isNewer(digest: PeerDigest, last: PeerDigest | undefined): boolean {
    if (last?.incarnation !== digest.incarnation) return true
    return digest.sequence > last.sequence
  }

  return {
    addListed(router, address, nowMs) {
      const peer = peers.get(router)
      listedAtMs.set(router, nowMs)
      if (peer && isLive(peer, nowMs)) return
      const receivedAtMs = peer?.receivedAtMs ?? -Infinity
      peers.set(router, { router, address, receivedAtMs, sentAtMs: -Infinity })
    },
    update(digest, host, nowMs) {
      const peer = peers.get(digest.router)
      if (peer && !isNewer(digest, peer.digest)) return false
      peers.set(digest.router, {
        router: digest.router,
        address: { host, port: digest.port },
        receivedAtMs: nowMs,
        sentAtMs: peer?.sentAtMs ?? -Infinity,
        digest,
      })
      return true
    },
    find(router, nowMs) {
      const peer = peers.get(router)
      return peer && isLive(peer, nowMs) ? peer : undefined
    },
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
    livePeers(nowMs) {
      return [...peers.values()].filter(
        (peer) => isLive(peer, nowMs) && peer.digest?.stopping === false,
      )
    },
    expire(nowMs) {
      const expired: Peer[] = []
      for (const peer of peers.values()) {
        const seenAtMs = Math.max(
          peer.receivedAtMs,
          listedAtMs.get(peer.router) ?? -Infinity,
        )
        if (nowMs - seenAtMs <= expiryMs) continue
        peers.delete(peer.router)
        listedAtMs.delete(peer.router)
        expired.push(peer)
      }
      return expired
    },
  }
}
