import { createFleetShares } from './createFleetShares.js'

/** What a router knows of a peer's use of a limit. */
export interface PeerUsage {
  readonly router: string
  /** Use in the peer's last digest; 0 when none was ever heard. */
  readonly used: number
  /** Requests that came to the peer, refused ones included. @default 0 */
  readonly asked?: number
  /** Milliseconds since that digest; infinite when none was ever heard. */
  readonly ageMs: number
}

/** A limit on the whole fleet as one router sees it. */
export interface FleetLimit {
  readonly limit: number
  /** Name of the limit; selects who gets the remainder of the shares. */
  readonly key: string
  readonly router: string
  /**
   * Requests that came to this router, refused ones included. When given, the
   * routers divide the limit as they are asked for it.
   */
  readonly asked?: number
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
  let shares: ((router: string) => number) | undefined
  let usedByOthers = 0
  let askedOfOthers = 0
  let divided = limit
  for (const peer of peers) {
    if (peer.ageMs <= staleMs) {
      usedByOthers += peer.used
      askedOfOthers += peer.asked ?? 0
      continue
    }
    shares ??= createFleetShares(limit, key, routers)
    const held = peer.ageMs <= holdMs ? peer.used : 0
    divided -= Math.max(shares(peer.router), held)
  }
  const left = Math.max(0, divided - usedByOthers)
  if (!state.asked) return left
  const part = (divided * state.asked) / (state.asked + askedOfOthers)
  return Math.min(left, Math.max(0, Math.ceil(part)))
}
