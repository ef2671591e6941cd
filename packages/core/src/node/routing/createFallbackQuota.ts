import type { TargetGroup } from './targetGroup.js'

/** Load of a group and membership, as known from the peers' digests. */
export interface FleetLoadReport {
  /** Live routers, this one included, in any order. */
  readonly routers: readonly string[]
  /** Requests in flight by target, summed over the digests of all routers. */
  readonly knownLoads: readonly number[]
  /** Age of the oldest digest in milliseconds. */
  readonly ageMs: number
  /** Age in milliseconds from which on the load bound is the mean plus one. */
  readonly maxAgeMs: number
  readonly maxLoadFactor: number
  /** Whether the target at an index accepts new requests. */
  eligible(index: number): boolean
}

/** Slots that a router may use without the coordinator. */
export interface FallbackQuota {
  /** Recomputes the quota from new digests. */
  refresh(report: FleetLoadReport): void
  /** Whether this router may send one more request to the target. */
  hasQuota(index: number): boolean
  /** Counts a request sent to the target since the last refresh. */
  consume(index: number): void
  /**
   * Returns the target with the most headroom by weight, regardless of quotas;
   * undefined if all targets are at their bound.
   */
  findMostHeadroom(exclude: readonly number[]): number | undefined
}

/**
 * Creates a quota that divides the free slots without messages: the load levels
 * of a target between its known load and its bound are assigned to the routers
 * round robin, in an order that every router computes alike.
 */
export function createFallbackQuota(
  group: TargetGroup,
  router: string,
): FallbackQuota {
  const size = group.members.length
  const bounds = new Array<number>(size).fill(0)
  const knownLoads = new Array<number>(size).fill(0)
  const eligible = new Array<boolean>(size).fill(false)
  const consumed = new Array<number>(size).fill(0)
  let routersKey: string | undefined
  let offsets: number[] = []
  let routerCount = 1

  // Adjacent targets start with adjacent routers, so that each router gets a
  // slot somewhere even if every target has only one free slot.
  function offsetsOf(routers: readonly string[]): number[] {
    const sorted = [...routers].sort()
    const key = sorted.join('\n')
    if (routersKey === key) return offsets
    routersKey = key
    const count = Math.max(1, sorted.length)
    const position = Math.max(0, sorted.indexOf(router))
    return group.members.map(
      (_, index) =>
        (((position - index - group.membersHash) % count) + count) % count,
    )
  }

  /** Returns the load level that this router's next request would reach. */
  function nextLevel(index: number): number {
    const first = 1 + (offsets[index] ?? 0)
    const known = knownLoads[index] ?? 0
    const skipped = Math.max(0, Math.ceil((known + 1 - first) / routerCount))
    return first + (skipped + (consumed[index] ?? 0)) * routerCount
  }

  return {
    refresh(report) {
      offsets = offsetsOf(report.routers)
      routerCount = Math.max(1, report.routers.length)
      let total = 0
      let weights = 0
      for (const [index, { weight }] of group.members.entries()) {
        eligible[index] = report.eligible(index)
        if (!eligible[index]) continue
        total += report.knownLoads[index] ?? 0
        weights += weight
      }
      const freshness = Math.max(0, 1 - report.ageMs / report.maxAgeMs)
      const factor = 1 + (report.maxLoadFactor - 1) * freshness
      consumed.fill(0)
      for (const [index, { weight }] of group.members.entries()) {
        bounds[index] =
          weights > 0 ? (factor * total * weight) / weights + 1 : 1
        knownLoads[index] = report.knownLoads[index] ?? 0
      }
    },
    hasQuota: (index) =>
      eligible[index] === true && nextLevel(index) <= (bounds[index] ?? 0),
    consume: (index) => {
      consumed[index] = (consumed[index] ?? 0) + 1
    },
    findMostHeadroom(exclude) {
      let best: number | undefined
      let most = -Infinity
      for (const [index, { weight }] of group.members.entries()) {
        if (!eligible[index] || exclude.includes(index)) continue
        const load = (knownLoads[index] ?? 0) + (consumed[index] ?? 0)
        const headroom = (bounds[index] ?? 0) - load
        if (headroom < 1 || headroom / weight <= most) continue
        most = headroom / weight
        best = index
      }
      return best
    },
  }
}
