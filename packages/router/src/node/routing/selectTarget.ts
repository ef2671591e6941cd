import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { Target } from '../targets/target.js'
import type { TargetLoad } from './targetLoad.js'

/** What a choice is made from. */
export interface SelectTargetOptions {
  /** Targets that may run the request. */
  readonly targets: readonly Target[]
  /** Work under way at a target, from the whole fleet. */
  readonly load: (targetId: string) => TargetLoad
  /** What the request shares with others; undefined spreads it. */
  readonly affinity?: string
  readonly promptTokens: number
  /** Ids of targets that hold what the request shares, the preferred first. */
  readonly cachedOn: readonly string[]
  /** Breaks ties, other for each request. */
  readonly tieBreaker: string
}

/** Times the mean load that a target with a cached prompt may hold; below the bound of 2. */
const AFFINITY_LOAD_FACTOR = 1.7
/** Requests above it, so that small loads do not scatter prompts. */
const AFFINITY_LOAD_MARGIN = 2

/** Targets that a short prompt which none holds may go to. */
const CANDIDATES = 3
/** Tokens up to which a prompt is short: read within 30 to 60 ms at 112 and 55 tokens/ms. */
const SHORT_PROMPT_TOKENS = 3_000

function orderBy(key: string, targets: readonly Target[]): Target[] {
  return rendezvousOrder(
    key,
    targets.map((target) => ({ id: target.id, weight: 1, target })),
  ).map(({ target }) => target)
}

function leastLoaded(
  { load: work, tieBreaker: spread }: SelectTargetOptions,
  targets: readonly Target[],
): Target | undefined {
  let best: Target | undefined
  let bestLoad = Infinity
  for (const target of orderBy(spread, targets)) {
    const share = (work(target.id).requests + 1) / Math.max(1, target.slots)
    if (share >= bestLoad) continue
    best = target
    bestLoad = share
  }
  return best
}

/** Returns the target that has least to read, the first of equals. */
function leastToRead(
  { load: work }: SelectTargetOptions,
  targets: readonly Target[],
): Target | undefined {
  let best: Target | undefined
  let bestTokens = Infinity
  for (const target of targets) {
    const { pendingPromptTokens: unreadTokens } = work(target.id)
    if (unreadTokens >= bestTokens) continue
    best = target
    bestTokens = unreadTokens
  }
  return best
}

/** Returns the targets that may take one more without carrying too much. */
function withinBound({ targets, load: work }: SelectTargetOptions): Target[] {
  let total = 0
  for (const { id } of targets) total += work(id).requests
  const mean = total / Math.max(1, targets.length)
  const bound = AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_MARGIN
  return targets.filter(({ id }) => work(id).requests + 1 <= bound)
}

/** Chooses the target of a request; undefined where there is none. */
export function selectTarget(
  question: SelectTargetOptions,
): Target | undefined {
  const { targets, affinity, cachedOn: holders } = question
  if (affinity === undefined) return leastLoaded(question, targets)
  const open = withinBound(question)
  const holding = holders.flatMap((id) => open.filter((one) => one.id === id))
  if (holding.length > 0) return leastToRead(question, holding)
  // Two routers may place one prompt at once, which only a short one bears.
  const isShort = question.promptTokens <= SHORT_PROMPT_TOKENS
  const candidates = orderBy(affinity, open).slice(0, isShort ? CANDIDATES : 1)
  return leastToRead(question, candidates) ?? leastLoaded(question, targets)
}
