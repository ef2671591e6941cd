import type { TargetGroup } from './targetGroup.js'

/** What a router knows of the group when it has to do without the home. */
export interface FleetLoadReport {
  /** Live routers, this one included, in any order. */
  readonly routers: readonly string[]
  /** Requests in flight by target, from the digests of all routers. */
  readonly knownLoads: readonly number[]
  /** Age of the oldest digest in milliseconds. */
  readonly ageMs: number
  /** Age at which the bound has shrunk to the mean. */
  readonly maxAgeMs: number
  readonly maxLoadFactor: number
  eligible(index: number): boolean
}

/** A router's shares of the places that are free by the latest digests. */
export interface FallbackQuota {
  /** Starts over from new digests. */
  refresh(view: FleetLoadReport): void
  /** Whether this router may place one more request on the target. */
  hasQuota(index: number): boolean
  /** Counts a request placed since the digests. */
  consume(index: number): void
  /**
   * Target with the most room by the digests, for lack of a share; undefined
   * when all are at the bound.
   */
  findMostHeadroom(exclude: readonly number[]): number | undefined
}

/**
 * Divides the free places without any message: a target's load levels between
 * its known load and the bound belong to the routers in turn, in an order that
 * each router computes alike.
 */
export function createFallbackQuota(
  group: TargetGroup,
  router: string,
): FallbackQuota {
  const size = group.members.length
  const bounds = new Array<number>(size).fill(0)
  const knownLoads = new Array<number>(size).fill(0)
  const eligible = new Array<boolean>(size).fill(false)
  const taken = new Array<number>(size).fill(0)
  let turnKey: string | undefined
  let turnOf: number[] = []
  let routerCount = 1

  // Neighbouring targets start with neighbouring routers, so that each router
  // owns a place somewhere even when there is one free place a target.
  function turnsOf(routers: readonly string[]): number[] {
    const sorted = [...routers].sort()
    const key = sorted.join('\n')
    if (turnKey === key) return turnOf
    turnKey = key
    const count = Math.max(1, sorted.length)
    const rank = Math.max(0, sorted.indexOf(router))
    return group.members.map(
      (_, index) =>
        (((rank - index - group.membersHash) % count) + count) % count,
    )
  }

  /** Level that this router's next request on the target would take. */
  function nextLevel(index: number): number {
    const first = 1 + (turnOf[index] ?? 0)
    const known = knownLoads[index] ?? 0
    const passed = Math.max(0, Math.ceil((known + 1 - first) / routerCount))
    return first + (passed + (taken[index] ?? 0)) * routerCount
  }

  return {
    refresh(view) {
      turnOf = turnsOf(view.routers)
      routerCount = Math.max(1, view.routers.length)
      let total = 0
      let weights = 0
      for (const [index, { weight }] of group.members.entries()) {
        eligible[index] = view.eligible(index)
        if (!eligible[index]) continue
        total += view.knownLoads[index] ?? 0
        weights += weight
      }
      const freshness = Math.max(0, 1 - view.ageMs / view.maxAgeMs)
      const factor = 1 + (view.maxLoadFactor - 1) * freshness
      taken.fill(0)
      for (const [index, { weight }] of group.members.entries()) {
        bounds[index] =
          weights > 0 ? (factor * total * weight) / weights + 1 : 1
        knownLoads[index] = view.knownLoads[index] ?? 0
      }
    },
    hasQuota: (index) =>
      eligible[index] === true && nextLevel(index) <= (bounds[index] ?? 0),
    consume: (index) => {
      taken[index] = (taken[index] ?? 0) + 1
    },
    findMostHeadroom(exclude) {
      let best: number | undefined
      let most = -Infinity
      for (const [index, { weight }] of group.members.entries()) {
        if (!eligible[index] || exclude.includes(index)) continue
        const load = (knownLoads[index] ?? 0) + (taken[index] ?? 0)
        const room = (bounds[index] ?? 0) - load
        if (room < 1 || room / weight <= most) continue
        most = room / weight
        best = index
      }
      return best
    },
  }
}
