import type { Call } from '../callers/call.js'
import type { PromptPart } from '../callers/promptPart.js'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { affinityKey } from './affinityKey.js'
import type { CacheLocations } from './createCacheLocations.js'
import type { FleetLoad } from './createFleetLoad.js'
import { createPrefillRates } from './createPrefillRates.js'
import type { Placement } from './placement.js'
import { PlacementReason } from './placementReason.js'
import { selectTarget } from './selectTarget.js'

/** Options for {@link createTargetSelector}. */
export interface TargetSelectorOptions {
  readonly targetList: TargetList
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  /** Called when a prompt that no target cached was sent to one. */
  readonly onNewPrompt: () => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Selects the targets of calls. */
export interface TargetSelector {
  /** Returns the placement of a call's next send; undefined if there is no target. */
  select(call: Call, tried: ReadonlySet<string>): Placement | undefined
  /** Records that a call is sent to a target. */
  recordSent(call: Call, target: Target): void
  /** Records the time from a send to the head of its response. */
  recordResponse(call: Call, placement: Placement, headMs: number): void
  /** Records that a target did not run a call. */
  recordNotRun(call: Call, target: Target): void
}

function keyOf({ request, route }: Call): string | undefined {
  return route.cachesPrompts ? affinityKey(request.promptParts) : undefined
}

function tokensOf(parts: readonly PromptPart[]): number {
  let tokens = 0
  for (const part of parts) tokens += part.tokens
  return tokens
}

/** Multiple of the expected prefill time after which most prefills are complete. */
const PREFILL_MARGIN = 1.25
/** Largest part of the target latency that a request waits for the prefill of another. */
const MAX_WAIT_FRACTION = 0.25

/** Creates a target selector. */
export function createTargetSelector(
  options: TargetSelectorOptions,
): TargetSelector {
  const { targetList, load, cacheLocations, health, stallDetector } = options
  const { sharesCache, now } = options
  const prefillRates = createPrefillRates()

  /** Returns a holder to fetch the prompt from; one that has crashed would only delay the request. */
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

  /** Returns what a holder must prefill: the part that belongs to the request alone. */
  const ownTokens = ({ request }: Call): number =>
    request.promptParts.at(-1)?.tokens ?? 0

  /**
   * Returns how long the target still prefills the shared part for the request
   * that brought it there. Answers a prompt that many request at once: each
   * request sent earlier would prefill it again and delay the first one.
   */
  function prefillWaitMs(call: Call, target: Target): number {
    const key = keyOf(call)
    if (key === undefined) return 0
    const { promptParts } = call.request
    const sharedTokens = tokensOf(promptParts) - ownTokens(call)
    const expectedMs =
      PREFILL_MARGIN * prefillRates.expectedMs(call.service, sharedTokens)
    const remainingMs = expectedMs - cacheLocations.knownForMs(key, target.id)
    const maxMs = MAX_WAIT_FRACTION * call.route.targetLatencyMs
    return Math.max(0, Math.min(maxMs, remainingMs))
  }

  return {
    select(call, tried) {
      const { service, request } = call
      const nowMs = now()
      const ready = targetList.ready(service, nowMs)
      const untried = ready.filter(({ id }) => !tried.has(id))
      const available = health
        .eligibleTargets(service, ready, nowMs)
        .filter(
          ({ id }) => !tried.has(id) && !stallDetector.isStalled(id, nowMs),
        )
      const key = keyOf(call)
      const promptTokens = tokensOf(request.promptParts)
      const cachedOn = key === undefined ? [] : cacheLocations.cachedOn(key)
      const selected = selectTarget({
        targets: available.length > 0 ? available : untried,
        load: (id) => load.total(id, nowMs),
        promptTokens,
        tieBreaker: request.attemptId,
        cachedOn,
        ...(key !== undefined && { affinity: key }),
      })
      if (!selected) return undefined
      if (selected.reason === PlacementReason.NoPrompt)
        return { ...selected, prefillTokens: 0, waitMs: 0 }
      if (cachedOn.includes(selected.target.id))
        return {
          ...selected,
          prefillTokens: ownTokens(call),
          waitMs: prefillWaitMs(call, selected.target),
        }
      const isListed = ready.some(({ id }) => cachedOn.includes(id))
      const reason =
        selected.reason === PlacementReason.HolderLost && isListed
          ? PlacementReason.HolderExcluded
          : selected.reason
      const fetchFrom = findSource(service, cachedOn, nowMs)
      return {
        target: selected.target,
        reason,
        prefillTokens: fetchFrom ? ownTokens(call) : promptTokens,
        waitMs: 0,
        ...(fetchFrom && { fetchFrom }),
      }
    },
    recordSent(call, target) {
      const key = keyOf(call)
      if (key === undefined) return
      const isNew = cacheLocations.cachedOn(key).length === 0
      cacheLocations.add(key, target.id)
      if (isNew) options.onNewPrompt()
    },
    recordResponse({ service }, { fetchFrom, prefillTokens }, headMs) {
      if (!fetchFrom) prefillRates.record(service, prefillTokens, headMs)
    },
    recordNotRun(call, target) {
      const key = keyOf(call)
      if (key !== undefined) cacheLocations.remove(key, target.id)
    },
  }
}
