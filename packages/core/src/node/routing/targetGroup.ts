import { hash32 } from '../hash/hash32.js'
import { TARGETS_PER_GROUP } from './constants.js'
import type { WeightedTarget } from './rendezvousOrder.js'

/** Targets of one service whose slots one coordinator grants. */
export interface TargetGroup {
  /** Unique over all services. */
  readonly id: string
  readonly service: string
  /** Sorted by id; messages name a target by its index here. */
  readonly members: readonly WeightedTarget[]
  /** Differs between routers that have different lists of the members. */
  readonly membersHash: number
}

function groupCount(targets: number): number {
  const exact = Math.log2(Math.max(1, targets / TARGETS_PER_GROUP))
  return 2 ** Math.round(exact)
}

function createGroup(
  service: string,
  index: number,
  members: WeightedTarget[],
): TargetGroup {
  members.sort((a, b) => (a.id < b.id ? -1 : 1))
  const text = members.map(({ id, weight }) => `${id}\n${weight}`).join('\n')
  return {
    id: `${service}/${index}`,
    service,
    members,
    membersHash: hash32(text),
  }
}

/**
 * Splits the targets of a service into groups by a hash of their ids. A target
 * that joins or leaves changes only its own group, unless the number of groups
 * (a power of two) changes.
 */
export function groupTargets(
  service: string,
  targets: readonly WeightedTarget[],
): TargetGroup[] {
  const count = groupCount(targets.length)
  const buckets = Array.from({ length: count }, (): WeightedTarget[] => [])
  for (const { id, weight } of targets)
    buckets[hash32(id) % count]?.push({ id, weight })
  const groups: TargetGroup[] = []
  for (const [index, members] of buckets.entries())
    if (members.length > 0) groups.push(createGroup(service, index, members))
  return groups
}
