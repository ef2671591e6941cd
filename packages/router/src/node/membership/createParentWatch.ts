import { PEER_PROBE_INTERVAL_MS } from '../constants.js'
import type { Peer, PeerTable } from '../peers/createPeerTable.js'
import type { TopologyDecider } from './createTopology.js'
import { PeerStatus } from './peerStatus.js'
import { hasReported } from './statusOf.js'

/** Options for {@link createParentWatch}. */
export interface ParentWatchOptions {
  readonly table: PeerTable
  readonly decider: TopologyDecider
  readonly isStopping: () => boolean
  /** Called when the parent has fallen silent. */
  readonly onLost: (router: string) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Keeps a member of a large fleet at an aggregator that answers. */
export interface ParentWatch {
  /** Chooses another parent if this one is silent. */
  avoidSilentParent(): void
  /** Decides this router's place in the fleet again. */
  decide(): void
  /** Returns the aggregators to ask for an answer, each at intervals. */
  takeProbes(): string[]
  /** Excuses the parent for a time in which this router itself was paused, in milliseconds. */
  extend(pauseMs: number): void
}

/** Milliseconds without a digest after which the other end of a link counts as lost: six digests. */
export const LINK_TIMEOUT_MS = 1_200
/** Milliseconds that a parent may take to send its first digest. */
const FIRST_DIGEST_MS = 700

/** Creates a watch for a router without a parent. */
export function createParentWatch(options: ParentWatchOptions): ParentWatch {
  const { table, decider, now } = options
  let parentSinceMs = -Infinity
  let hasLostParent = false

  const receivedAtMs = (router: string): number =>
    table.get(router)?.receivedAtMs ?? -Infinity

  const isCandidate = (peer: Peer): boolean =>
    !hasReported(peer, PeerStatus.EarlierRelease)

  return {
    avoidSilentParent() {
      const { parent } = decider.current
      if (parent === undefined) return
      const lastMs = receivedAtMs(parent)
      const hasAnswered = lastMs >= parentSinceMs
      if (hasAnswered) hasLostParent = false
      const silentMs = now() - Math.max(parentSinceMs, lastMs)
      if (silentMs <= (hasAnswered ? LINK_TIMEOUT_MS : FIRST_DIGEST_MS)) return
      hasLostParent = true
      decider.avoid(parent, now())
      if (lastMs === -Infinity) table.markLost(parent)
      options.onLost(parent)
    },
    decide() {
      const { parent } = decider.current
      const present = table.presentPeers(now())
      const responsive = present.filter(
        (peer) => now() - peer.receivedAtMs <= LINK_TIMEOUT_MS,
      )
      const topology = decider.update(
        {
          present: present.map((peer) => peer.router),
          candidates: present.filter(isCandidate).map((peer) => peer.router),
          responsive: new Set(responsive.map((peer) => peer.router)),
        },
        options.isStopping(),
        now(),
      )
      if (topology.parent !== parent) parentSinceMs = now()
    },
    takeProbes() {
      if (!hasLostParent) return []
      const { aggregators, parent } = decider.current
      return [...aggregators].filter((id) => {
        const sentAtMs = table.get(id)?.sentAtMs ?? Infinity
        return id !== parent && now() - sentAtMs >= PEER_PROBE_INTERVAL_MS
      })
    },
    extend(pauseMs) {
      parentSinceMs += pauseMs
    },
  }
}
