import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { Target } from '../targets/target.js'

/** What a choice is made from. */
export interface PlaceQuestion {
  /** Targets that may run the request. */
  readonly targets: readonly Target[]
  /** Requests in flight at a target, from the whole fleet. */
  readonly load: (targetId: string) => number
  /** What the request shares with others; undefined spreads it. */
  readonly affinity?: string
  /** Ids of targets that hold what the request shares. */
  readonly holders: readonly string[]
  /** Breaks ties, other for each request. */
  readonly spread: string
}

/** Times the mean load that a target with a cached prompt may hold; below the bound of 2. */
const AFFINITY_LOAD_FACTOR = 1.7
/** Requests above it, so that small loads do not scatter prompts. */
const AFFINITY_LOAD_MARGIN = 2

function orderBy(key: string, targets: readonly Target[]): Target[] {
  return rendezvousOrder(
    key,
    targets.map((target) => ({ id: target.id, weight: 1, target })),
  ).map(({ target }) => target)
}

function leastLoaded(
  { load, spread }: PlaceQuestion,
  targets: readonly Target[],
): Target | undefined {
  let best: Target | undefined
  let bestLoad = Infinity
  for (const target of orderBy(spread, targets)) {
    const share = (load(target.id) + 1) / Math.max(1, target.slots)
    if (share >= bestLoad) continue
    best = target
    bestLoad = share
  }
  return best
}

/** Chooses the target of a request; undefined where there is none. */
export function choosePlace(question: PlaceQuestion): Target | undefined {
  const { targets, load, affinity, holders } = question
  if (affinity === undefined) return leastLoaded(question, targets)
  let total = 0
  for (const { id } of targets) total += load(id)
  const mean = total / Math.max(1, targets.length)
  const bound = AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_MARGIN
  const open = targets.filter(({ id }) => load(id) + 1 <= bound)
  const holding = open.filter(({ id }) => holders.includes(id))
  if (holding.length > 0) return leastLoaded(question, holding)
  return orderBy(affinity, open)[0] ?? leastLoaded(question, targets)
}
