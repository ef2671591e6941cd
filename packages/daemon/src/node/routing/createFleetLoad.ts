import type { TargetGroup } from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { InFlightCounts } from './createInFlightCounts.js'
import type { ServiceTable } from './createServiceTables.js'

/** Requests in flight over the fleet, from the routers' digests. */
export interface FleetLoad {
  loadOf(targetId: string): number
  /** Mean load for each unit of weight, over the targets that count. */
  meanLoad(table: ServiceTable, counts: (targetId: string) => boolean): number
  /** Whether a group is below its share of the service's load. */
  hasCapacity(group: TargetGroup, mean: number, factor: number): boolean
  /** Age of the oldest digest in milliseconds. */
  ageMs(): number
  /** Takes in the digests as they are now. */
  update(): void
}

/** Creates the sums over the digests of live routers. */
export function createFleetLoad(
  own: InFlightCounts,
  membership: () => Pick<Membership, 'livePeers'>,
): FleetLoad {
  let peers = new Map<string, number>()
  let ageMs = 0

  const of = (targetId: string): number =>
    (peers.get(targetId) ?? 0) + own.get(targetId)

  return {
    loadOf: of,
    meanLoad(table, counts) {
      let total = 0
      let weights = 0
      for (const group of table.groups) {
        for (const { id, weight } of group.members) {
          if (!counts(id)) continue
          total += of(id)
          weights += weight
        }
      }
      return weights === 0 ? 0 : total / weights
    },
    hasCapacity(group, mean, factor) {
      let load = 0
      let weights = 0
      for (const { id, weight } of group.members) {
        load += of(id)
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
      peers = next
    },
  }
}
