import type { Call } from '../callers/call.js'
import type { PromptPart } from '../callers/promptPart.js'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { affinityKey } from './affinityKey.js'
import { selectTarget } from './selectTarget.js'
import type { FleetLoad } from './createFleetLoad.js'
import type { CacheLocations } from './createCacheLocations.js'
import { createTargetLossRates } from './createTargetLossRates.js'
import { wantedHolders } from './wantedHolders.js'

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
  /** Returns the target for a call's next send; undefined if there is none. */
  select(call: Call, tried: ReadonlySet<string>): Target | undefined
  /** Returns a running target that caches the call's prompt, if `selected` does not. */
  findCacheSource(call: Call, selected: Target): Target | undefined
  /** Returns the prompt tokens of a call that a target must prefill at least. */
  pendingPromptTokens(call: Call, target: Target): number
  /** Records that a call is sent to a target. */
  recordSent(call: Call, target: Target): void
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

/** Creates a target selector. */
export function createTargetSelector(
  options: TargetSelectorOptions,
): TargetSelector {
  const { targetList, load, cacheLocations, health, stallDetector } = options
  const { sharesCache, now } = options
  const lossRates = createTargetLossRates()

  function holdersOf(key: string, service: string): number {
    // A further holder pays off only if it fetches the prompt.
    if (!sharesCache(service)) return 1
    return wantedHolders({
      lossesPerMs: lossRates.lossesPerMs(service),
      inUseMs: cacheLocations.inUseMs(key),
    })
  }

  return {
    select(call, tried) {
      const nowMs = now()
      const ready = targetList.ready(call.service, nowMs)
      lossRates.observe(call.service, ready, nowMs)
      const eligible = health.eligibleTargets(call.service, ready, nowMs)
      const available = eligible.filter(
        ({ id }) => !tried.has(id) && !stallDetector.isStalled(id, nowMs),
      )
      const untried = ready.filter(({ id }) => !tried.has(id))
      const key = keyOf(call)
      return selectTarget({
        targets: available.length > 0 ? available : untried,
        load: (id) => load.total(id, nowMs),
        promptTokens: tokensOf(call.request.promptParts),
        tieBreaker: call.request.attemptId,
        cachedOn: key === undefined ? [] : cacheLocations.cachedOn(key),
        ...(key !== undefined && {
          affinity: key,
          wantedHolders: holdersOf(key, call.service),
        }),
      })
    },
    findCacheSource(call, selected) {
      const key = keyOf(call)
      if (key === undefined || !sharesCache(call.service)) return undefined
      const cachedOn = cacheLocations.cachedOn(key)
      if (cachedOn.includes(selected.id)) return undefined
      const nowMs = now()
      for (const id of cachedOn) {
        if (health.isUnreachable(id, nowMs)) continue
        if (stallDetector.isStalled(id, nowMs)) continue
        const source = targetList.findRunning(id, nowMs)
        if (source) return source
      }
      return undefined
    },
    pendingPromptTokens(call, target) {
      const key = keyOf(call)
      if (key === undefined) return 0
      const parts = call.request.promptParts
      if (cacheLocations.cachedOn(key).includes(target.id))
        return parts.at(-1)?.tokens ?? 0
      return tokensOf(parts)
    },
    recordSent(call, target) {
      const key = keyOf(call)
      if (key === undefined) return
      const isNew = cacheLocations.cachedOn(key).length === 0
      cacheLocations.add(key, target.id)
      if (isNew) options.onNewPrompt()
    },
    recordNotRun(call, target) {
      const key = keyOf(call)
      if (key !== undefined) cacheLocations.remove(key, target.id)
    },
  }
}
