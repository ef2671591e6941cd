import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { Target } from '../targets/target.js'
import { PlacementReason } from './placementReason.js'
import type { TargetLoad } from './targetLoad.js'

/** Options for {@link selectTarget}. */
export interface SelectTargetOptions {
  /** Targets that may run the request. */
  readonly targets: readonly Target[]
  /** Other targets of the service, which get no requests for now but count in its mean load. */
  readonly restingTargets?: number
  /** Returns the load of a target from the whole fleet. */
  readonly load: (targetId: string) => TargetLoad
  /** Affinity key of the prompt; without it the least loaded target is selected. */
  readonly affinity?: string
  readonly promptTokens: number
  /** Ids of the targets that cache the prompt, the preferred first. */
  readonly cachedOn: readonly string[]
  /** Key that orders equally loaded targets, different for each request. */
  readonly tieBreaker: string
}

/** A target and why it was selected. */
export interface SelectedTarget {
  readonly target: Target
  readonly reason: PlacementReason
}

/** Multiple of the mean load up to which affinity may select a target; below the bound of 2. */
const AFFINITY_LOAD_FACTOR = 1.7
/** Requests allowed on top of it, so that small loads do not scatter prompts. */
const AFFINITY_LOAD_MARGIN = 2

/** Candidate targets for a short prompt that no target caches. */
const MAX_CANDIDATES = 3
/** Longest short prompt, in tokens: prefilled within 30 to 60 ms at 112 and 55 tokens/ms. */
const SHORT_PROMPT_TOKENS = 3_000

function orderBy(key: string, targets: readonly Target[]): Target[] {
  return rendezvousOrder(
    key,
    targets.map((target) => ({ id: target.id, weight: 1, target })),
  ).map(({ target }) => target)
}

function findLeastLoaded(
  { load, tieBreaker }: SelectTargetOptions,
  targets: readonly Target[],
): Target | undefined {
  let best: Target | undefined
  let bestUtilization = Infinity
  for (const target of orderBy(tieBreaker, targets)) {
    const utilization =
      (load(target.id).requests + 1) / Math.max(1, target.slots)
    if (utilization >= bestUtilization) continue
    best = target
    bestUtilization = utilization
  }
  return best
}

/** Returns the target with the fewest pending prompt tokens, the first of equals. */
function findShortestPrefill(
  { load }: SelectTargetOptions,
  targets: readonly Target[],
): Target | undefined {
  let best: Target | undefined
  let bestTokens = Infinity
  for (const target of targets) {
    const { pendingPromptTokens } = load(target.id)
    if (pendingPromptTokens >= bestTokens) continue
    best = target
    bestTokens = pendingPromptTokens
  }
  return best
}

/** Returns the targets that stay within the load bound with one more request. */
export function withinBound({
  targets,
  load,
  restingTargets = 0,
}: SelectTargetOptions): Target[] {
  let total = 0
  for (const { id } of targets) total += load(id).requests
  const mean = total / Math.max(1, targets.length + restingTargets)
  const bound = AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_MARGIN
  return targets.filter(({ id }) => load(id).requests + 1 <= bound)
}

function findByAffinity(
  options: SelectTargetOptions,
  affinity: string,
  available: readonly Target[],
): Target | undefined {
  // With several candidates two routers may send the same prompt to two targets,
  // and both prefill it. Only a short prompt is cheap enough for that.
  const isShort = options.promptTokens <= SHORT_PROMPT_TOKENS
  const candidates = orderBy(affinity, available).slice(
    0,
    isShort ? MAX_CANDIDATES : 1,
  )
  return (
    findShortestPrefill(options, candidates) ??
    findLeastLoaded(options, options.targets)
  )
}

/**
 * Selects the target of a request; undefined if there are no targets. Answers
 * loads in which prompts return: it keeps them on the targets that cache them,
 * within a bound on each target's load.
 */
export function selectTarget(
  options: SelectTargetOptions,
): SelectedTarget | undefined {
  const { targets, affinity, cachedOn } = options
  const selected = (
    target: Target | undefined,
    reason: PlacementReason,
  ): SelectedTarget | undefined => target && { target, reason }

  if (affinity === undefined)
    return selected(findLeastLoaded(options, targets), PlacementReason.NoPrompt)
  const available = withinBound(options)
  const cacheTargets = cachedOn.flatMap((id) =>
    targets.filter((target) => target.id === id),
  )
  if (cacheTargets.length === 0) {
    const reason =
      cachedOn.length === 0
        ? PlacementReason.NewPrompt
        : PlacementReason.CacheLost
    return selected(findByAffinity(options, affinity, available), reason)
  }
  const usable = cacheTargets.filter((target) => available.includes(target))
  if (usable.length > 0)
    return selected(
      findShortestPrefill(options, usable),
      PlacementReason.Cached,
    )
  return selected(
    findByAffinity(options, affinity, available),
    PlacementReason.CacheOverBound,
  )
}
