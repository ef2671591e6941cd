import { createFleetShares } from './createFleetShares.js'

/** A peer's use of a limit according to its last digest. */
export interface PeerUsage {
  readonly router: string
  /** Use in the peer's last digest; 0 if none was received. */
  readonly used: number
  /** Requests that arrived at the peer, rejected ones included. @default 0 */
  readonly received?: number
  /** Age of that digest in milliseconds; infinite if none was received. */
  readonly ageMs: number
}

/** State of a fleet-wide limit on one router. */
export interface FleetLimit {
  readonly limit: number
  /** Name of the limit; selects the routers that get the remainder. */
  readonly key: string
  readonly router: string
  /**
   * Requests that arrived at this router, rejected ones included. If given, the
   * limit is divided in proportion to the requests at each router.
   */
  readonly received?: number
  /** Other routers in the VM list, and those with a recent digest. */
  readonly peers: readonly PeerUsage[]
  /** Age in milliseconds above which a digest is stale. */
  readonly staleMs: number
  /** Age in milliseconds above which the use in a digest has ended. */
  readonly holdMs: number
}

/**
 * Returns how much of a limit this router may use. A peer with a fresh digest
 * counts with its use. A peer with a stale digest counts with its share, or with
 * its last reported use if that is larger and may still be in progress. Without
 * any fresh digest the allowance is at most the router's own share, so the sum
 * over the routers never exceeds the limit.
 */
export function fleetAllowance(state: FleetLimit): number {
  const { limit, key, router, peers, staleMs, holdMs } = state
  const routers = [router, ...peers.map((peer) => peer.router)]
  let shares: ((router: string) => number) | undefined
  let usedByOthers = 0
  let receivedByOthers = 0
  // Part of the limit that the routers with fresh digests divide.
  let divisible = limit
  for (const peer of peers) {
    if (peer.ageMs <= staleMs) {
      usedByOthers += peer.used
      receivedByOthers += peer.received ?? 0
      continue
    }
    shares ??= createFleetShares(limit, key, routers)
    const inProgress = peer.ageMs <= holdMs ? peer.used : 0
    divisible -= Math.max(shares(peer.router), inProgress)
  }
  const left = Math.max(0, divisible - usedByOthers)
  if (!state.received) return left
  const proportion =
    (divisible * state.received) / (state.received + receivedByOthers)
  return Math.min(left, Math.max(0, Math.ceil(proportion)))
}
