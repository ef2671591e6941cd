import { fleetShare } from './fleetShare.js'

/** What a router knows of a peer's use of a limit. */
export interface PeerUsage {
  readonly router: string
  /** Use in the peer's last digest; 0 when none was ever heard. */
  readonly used: number
  /** Milliseconds since that digest; infinite when none was ever heard. */
  readonly ageMs: number
}

/** A limit on the whole fleet as one router sees it. */
export interface FleetLimit {
  readonly limit: number
  /** Name of the limit; selects who gets the remainder of the shares. */
  readonly key: string
  readonly router: string
  /** The other routers of the VM list, and those heard of lately. */
  readonly peers: readonly PeerUsage[]
  /** Milliseconds after which a digest is no longer trusted. */
  readonly staleMs: number
  /** Milliseconds until the use in a stale digest has surely ended. */
  readonly holdMs: number
}

/**
 * Returns what this router may use of a limit. A peer with a fresh digest
 * counts with its use. A silent peer counts with its share, or with more while
 * the larger use that it last told of may go on. With every digest cut, the
 * allowance is the router's own share, so the sum never passes the limit.
 */
export function fleetAllowance(state: FleetLimit): number {
  const { limit, key, router, peers, staleMs, holdMs } = state
  const routers = [router, ...peers.map((peer) => peer.router)]
  let allowance = limit
  for (const peer of peers) {
    if (peer.ageMs <= staleMs) {
      allowance -= peer.used
      continue
    }
    const share = fleetShare(limit, key, peer.router, routers)
    const held = peer.ageMs <= holdMs ? peer.used : 0
    allowance -= Math.max(share, held)
  }
  return Math.max(0, allowance)
}
