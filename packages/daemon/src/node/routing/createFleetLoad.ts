import type { TargetGroup } from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { InFlightCounts } from './createInFlightCounts.js'
import type { ServiceTable } from './createServiceTables.js'

/** Requests in flight by target, summed over the digests of all routers. */
export interface FleetLoad {
  get(targetId: string): number
  /** Mean load per unit of weight over the targets that `includes` accepts. */
  mean(table: ServiceTable, includes: (targetId: string) => boolean): number
  /** Whether one more request keeps the group within its load bound. */
  hasCapacity(group: TargetGroup, mean: number, factor: number): boolean
  /** Age of the oldest digest in milliseconds. */
  ageMs(): number
  /** Recomputes the loads from the current digests. */
  update(): void
}

/**
 * Creates the loads from this router's counts and the digests of live peers.
 */
export function createFleetLoad(
  own: InFlightCounts,
  membership: () => Pick<Membership, 'livePeers'>,
): FleetLoad {
  let peerLoads = new Map<string, number>()
  let ageMs = 0

  const loadOf = (targetId: string): number =>
    (peerLoads.get(targetId) ?? 0) + own.get(targetId)

  return {
    get: loadOf,
    mean(table, includes) {
      let total = 0
      let weights = 0
      for (const group of table.groups) {
        for (const { id, weight } of group.members) {
          if (!includes(id)) continue
          total += loadOf(id)
          weights += weight
        }
      }
      return weights === 0 ? 0 : total / weights
    },
    hasCapacity(group, mean, factor) {
      let load = 0
      let weights = 0
      for (const { id, weight } of group.members) {
        load += loadOf(id)
        weights += weight
      }
      return load + 1 <= factor * mean * weights + 1
    },
    ageMs: () => ageMs,
    update() {
      const next = new Map<string, number>()
      ageMs = 0
      for (const peer of membership().livePeers()) {
        ageMs = Math.max(ageMs, peer.ageMs)
        for (const [id, count] of Object.entries(peer.heartbeat.digest.targets))
          next.set(id, (next.get(id) ?? 0) + count)
      }
      peerLoads = next
    },
  }
}
