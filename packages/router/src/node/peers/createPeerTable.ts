import type { PeerAddress } from './peerAddress.js'
import type { PeerDigest } from './peerDigest.js'

/** A router that this one knows of. */
export interface Peer {
  readonly router: string
  readonly address: PeerAddress
  /** Steady time of its last digest in milliseconds; -Infinity before any. */
  heardAtMs: number
  /** Steady time of the last digest sent to it. */
  toldAtMs: number
  digest?: PeerDigest
}

/** The routers that this one knows of. */
export interface PeerTable {
  /** Notes an address that a list of routers gives. */
  listed(router: string, address: PeerAddress, nowMs: number): void
  /** Takes in a digest; returns whether it is new. */
  heard(digest: PeerDigest, host: string, nowMs: number): boolean
  /** Returns a peer that was heard lately. */
  find(router: string, nowMs: number): Peer | undefined
  /** Returns the peers that a digest is due for, `most` of them, and notes that it is sent. */
  due(nowMs: number, most: number): Peer[]
  /** Returns the peers heard lately that are not stopping. */
  live(nowMs: number): Peer[]
  /** Forgets peers that were silent for long; returns them. */
  expire(nowMs: number): Peer[]
}

/** Times of the table, in milliseconds. */
export interface PeerTableOptions {
  /** Silence after which a peer counts as lost. */
  readonly lostMs: number
  /** Time between two digests to a lost peer, so that its next start finds this router. */
  readonly probeMs: number
  /** Silence after which a peer is forgotten. */
  readonly forgetMs: number
}

/** Creates a table without peers. */
export function createPeerTable(options: PeerTableOptions): PeerTable {
  const { lostMs, probeMs, forgetMs } = options
  const peers = new Map<string, Peer>()
  const listedAtMs = new Map<string, number>()

  function isLive(peer: Peer, nowMs: number): boolean {
    return nowMs - peer.heardAtMs <= lostMs
  }

  function isNewer(digest: PeerDigest, last: PeerDigest | undefined): boolean {
    if (last?.incarnation !== digest.incarnation) return true
    return digest.sequence > last.sequence
  }

  return {
    listed(router, address, nowMs) {
      const peer = peers.get(router)
      listedAtMs.set(router, nowMs)
      if (peer && isLive(peer, nowMs)) return
      const heardAtMs = peer?.heardAtMs ?? -Infinity
      peers.set(router, { router, address, heardAtMs, toldAtMs: -Infinity })
    },
    heard(digest, host, nowMs) {
      const peer = peers.get(digest.router)
      if (peer && !isNewer(digest, peer.digest)) return false
      peers.set(digest.router, {
        router: digest.router,
        address: { host, port: digest.port },
        heardAtMs: nowMs,
        toldAtMs: peer?.toldAtMs ?? -Infinity,
        digest,
      })
      return true
    },
    find(router, nowMs) {
      const peer = peers.get(router)
      return peer && isLive(peer, nowMs) ? peer : undefined
    },
    due(nowMs, most) {
      const due = [...peers.values()]
        .filter(
          (peer) => isLive(peer, nowMs) || nowMs - peer.toldAtMs >= probeMs,
        )
        .sort((a, b) => a.toldAtMs - b.toldAtMs)
        .slice(0, most)
      for (const peer of due) peer.toldAtMs = nowMs
      return due
    },
    live(nowMs) {
      return [...peers.values()].filter(
        (peer) => isLive(peer, nowMs) && peer.digest?.stopping === false,
      )
    },
    expire(nowMs) {
      const forgotten: Peer[] = []
      for (const peer of peers.values()) {
        const seenAtMs = Math.max(
          peer.heardAtMs,
          listedAtMs.get(peer.router) ?? -Infinity,
        )
        if (nowMs - seenAtMs <= forgetMs) continue
        peers.delete(peer.router)
        listedAtMs.delete(peer.router)
        forgotten.push(peer)
      }
      return forgotten
    },
  }
}
