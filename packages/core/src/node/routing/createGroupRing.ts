import { hash32 } from '../hash/hash32.js'
import { RING_POINTS_PER_TARGET } from './constants.js'
import type { TargetGroup } from './targetGroup.js'

/** Hash ring that maps a chat to groups without a scan of all targets. */
export interface GroupRing {
  /** Returns all groups in the chat's order of preference. */
  groupsOf(chat: string): Iterable<TargetGroup>
  /** Size of the ring's tables in bytes. */
  readonly bytes: number
}

interface RingPoint {
  readonly hash: number
  readonly group: number
}

function ringPoints(groups: readonly TargetGroup[]): RingPoint[] {
  const points: RingPoint[] = []
  for (const [group, { members }] of groups.entries()) {
    for (const { id, weight } of members) {
      const count = Math.max(1, Math.round(RING_POINTS_PER_TARGET * weight))
      for (let point = 0; point < count; point += 1)
        points.push({ hash: hash32(id, point + 1), group })
    }
  }
  return points.sort((a, b) => a.hash - b.hash || a.group - b.group)
}

/** Creates a ring in O(n log n); needed only when the targets change. */
export function createGroupRing(groups: readonly TargetGroup[]): GroupRing {
  const points = groups.length > 1 ? ringPoints(groups) : []
  const hashes = Uint32Array.from(points, ({ hash }) => hash)
  const owners = Uint32Array.from(points, ({ group }) => group)

  function firstPoint(hash: number): number {
    let low = 0
    let high = hashes.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((hashes[middle] ?? 0) < hash) low = middle + 1
      else high = middle
    }
    return low
  }

  return {
    bytes: hashes.byteLength + owners.byteLength,
    *groupsOf(chat) {
      if (groups.length <= 1) {
        yield* groups
        return
      }
      const start = firstPoint(hash32(chat))
      const seen = new Set<number>()
      for (let step = 0; step < owners.length; step += 1) {
        const owner = owners[(start + step) % owners.length] ?? 0
        if (seen.has(owner)) continue
        seen.add(owner)
        const group = groups[owner]
        if (group) yield group
      }
    },
  }
}
