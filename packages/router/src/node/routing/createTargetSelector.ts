import type { Call } from '../callers/call.js'
import type { PromptPart } from '../callers/promptPart.js'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetLimits } from '../limits/createTargetLimits.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { TargetExclusion } from '../targets/targetExclusion.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import { affinityKey } from './affinityKey.js'
import type { CacheLocations } from './createCacheLocations.js'
import type { FleetLoad } from './createFleetLoad.js'
import type { Placement } from './placement.js'
import { PlacementReason } from './placementReason.js'
import {
  selectTarget,
  type SelectTargetOptions,
  withinBound,
} from './selectTarget.js'
import type { TargetConstraints, TargetSelector } from './targetSelector.js'

/** Options for {@link createTargetSelector}. */
export interface TargetSelectorOptions {
  readonly targetList: TargetList
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly streams: ResumableStreams
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  readonly limits: TargetLimits
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  /** Called when a prompt that no target cached was sent to one. */
  readonly onNewPrompt: () => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Causes that say nothing against the cache of a target. */
const KEEPS_CACHE: ReadonlySet<TargetFailureCause> = new Set([
  TargetFailureCause.Refused,
  TargetFailureCause.Withheld,
])

function keyOf({ request, route }: Call): string | undefined {
  return route.cachesPrompts ? affinityKey(request.promptParts) : undefined
}

function tokensOf(parts: readonly PromptPart[]): number {
  let tokens = 0
  for (const part of parts) tokens += part.tokens
  return tokens
}

/** Creates a target selector. */
export function createTargetSelector(
  options: TargetSelectorOptions,
): TargetSelector {
  const { targetList, load, cacheLocations, health, stallDetector } = options
  const { limits, sharesCache, now } = options

  /** Returns a cache target to fetch the prompt from; one that has crashed would only delay the request. */
  function findSource(
    service: string,
    cachedOn: readonly string[],
    nowMs: number,
  ): Target | undefined {
    if (!sharesCache(service)) return undefined
    for (const id of cachedOn) {
      if (health.isUnreachable(id, nowMs)) continue
      if (stallDetector.isStalled(id, nowMs)) continue
      const source = targetList.findRunning(id, nowMs)
      if (source) return source
    }
    return undefined
  }

  /** Returns what a cache target must prefill: the part that belongs to the request alone. */
  const ownTokens = ({ request }: Call): number =>
    request.promptParts.at(-1)?.tokens ?? 0

  /** Returns the targets at which a stream may begin; all if it has begun, or there are no others. */
  function withKnownVersion(
    call: Call,
    softwareVersion: string | undefined,
    targets: Target[],
  ): Target[] {
    if (softwareVersion !== undefined) return targets
    const known = targets.filter((target) =>
      options.streams.mayBegin(call, target),
    )
    return known.length > 0 ? known : targets
  }

  /** Returns the targets that get no requests of this router because they are evacuated or cold. */
  function countResting(
    service: string,
    ready: readonly Target[],
    allowed: readonly Target[],
  ): number {
    const evacuated = targetList.evacuatedCount(service)
    if (allowed.length === ready.length) return evacuated
    const cold = ready.filter(
      (target) => limits.isCold(target) && !limits.maySend(target),
    )
    return evacuated + cold.length
  }

  /** Returns why a ready target does not get a call now. */
  function exclusionOf(
    target: Target,
    { tried, softwareVersion }: TargetConstraints,
  ): TargetExclusion | undefined {
    if (tried.has(target.id)) return TargetExclusion.Tried
    if (!limits.maySend(target))
      return limits.isCold(target)
        ? TargetExclusion.Cold
        : TargetExclusion.Limit
    const version = softwareVersion ?? target.softwareVersion
    return version === target.softwareVersion
      ? undefined
      : TargetExclusion.Version
  }

  /** Returns the targets that may get a call, and what their choice depends on. */
  function selectionFor(
    call: Call,
    constraints: TargetConstraints,
    cachedOn: readonly string[],
  ): SelectTargetOptions {
    const { service, request } = call
    const nowMs = now()
    const ready = targetList.ready(service, nowMs)
    const isAllowed = (target: Target): boolean =>
      exclusionOf(target, constraints) === undefined
    const allowed = ready.filter(isAllowed)
    const available = withKnownVersion(
      call,
      constraints.softwareVersion,
      health
        .eligibleTargets(service, ready, nowMs)
        .filter(isAllowed)
        .filter(({ id }) => !stallDetector.isStalled(id, nowMs)),
    )
    const key = keyOf(call)
    return {
      targets: available.length > 0 ? available : allowed,
      restingTargets: countResting(service, ready, allowed),
      load: (id) => load.total(id, nowMs),
      promptTokens: tokensOf(request.promptParts),
      tieBreaker: request.attemptId,
      cachedOn,
      ...(key !== undefined && { affinity: key }),
    }
  }

  function place(
    call: Call,
    selection: SelectTargetOptions,
  ): Placement | undefined {
    const { cachedOn, promptTokens } = selection
    const nowMs = now()
    const selected = selectTarget(selection)
    if (!selected) return undefined
    if (selected.reason === PlacementReason.NoPrompt)
      return { ...selected, prefillTokens: 0 }
    if (cachedOn.includes(selected.target.id))
      return { ...selected, prefillTokens: ownTokens(call) }
    const ready = targetList.ready(call.service, nowMs)
    const isListed = ready.some(({ id }) => cachedOn.includes(id))
    const reason =
      selected.reason === PlacementReason.CacheLost && isListed
        ? PlacementReason.CacheExcluded
        : selected.reason
    const fetchFrom = findSource(call.service, cachedOn, nowMs)
    return {
      target: selected.target,
      reason,
      prefillTokens: fetchFrom ? ownTokens(call) : promptTokens,
      ...(fetchFrom && { fetchFrom }),
    }
  }

  /** Returns why a target is not among those that may get a call. */
  function explainExclusion(
    target: Target,
    constraints: TargetConstraints,
    selection: SelectTargetOptions,
  ): TargetExclusion | undefined {
    const exclusion =
      targetList.exclusionOf(target) ?? exclusionOf(target, constraints)
    if (exclusion !== undefined) return exclusion
    if (!selection.targets.includes(target))
      return stallDetector.isStalled(target.id, now())
        ? TargetExclusion.Stalled
        : TargetExclusion.Unhealthy
    // Without a prompt the least loaded target is chosen, whatever the mean.
    const isBounded = selection.affinity !== undefined
    return isBounded && !withinBound(selection).includes(target)
      ? TargetExclusion.OverBound
      : undefined
  }

  return {
    select(call, constraints) {
      const key = keyOf(call)
      const cachedOn = key === undefined ? [] : cacheLocations.cachedOn(key)
      return place(call, selectionFor(call, constraints, cachedOn))
    },
    explain(call, constraints) {
      const key = keyOf(call)
      const cachedOn = key === undefined ? [] : cacheLocations.peekCachedOn(key)
      const selection = selectionFor(call, constraints, cachedOn)
      const candidates = [...targetList.all()]
        .filter(({ service }) => service === call.service)
        .map((target) => ({
          target,
          load: load.total(target.id, now()),
          isCached: cachedOn.includes(target.id),
          exclusion: explainExclusion(target, constraints, selection),
        }))
      return { candidates, placement: place(call, selection) }
    },
    isLocated(call) {
      const key = keyOf(call)
      return key === undefined || cacheLocations.cachedOn(key).length > 0
    },
    waitMs({ service }) {
      const ready = targetList.ready(service, now())
      return ready.length === 0 ? 0 : limits.waitMs(ready)
    },
    recordSent(call, target) {
      limits.recordSent(target)
      options.streams.recordSent(call, target.softwareVersion)
      const key = keyOf(call)
      if (key === undefined) return
      const isNew = cacheLocations.cachedOn(key).length === 0
      cacheLocations.add(key, target.id)
      if (isNew) options.onNewPrompt()
    },
    recordNotRun(call, { target, reason }, cause) {
      const wasCached = reason === PlacementReason.Cached
      // A cache target that does not take one request still caches the prompt.
      if (wasCached && KEEPS_CACHE.has(cause)) return
      const key = keyOf(call)
      if (key !== undefined) cacheLocations.remove(key, target.id)
    },
  }
}
