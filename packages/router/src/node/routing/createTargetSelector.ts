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

/** What a placer decides from. */
export interface TargetSelectorOptions {
  readonly targetList: TargetList
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  /** Called when a prompt that no target held was placed. */
  readonly onNewPrompt: () => void
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Chooses the targets of calls. */
export interface TargetSelector {
  /** Returns the target for a call's next send; undefined where there is none. */
  select(call: Call, tried: ReadonlySet<string>): Target | undefined
  /** Returns a target that holds the call's prompt, where the one chosen does not. */
  findCacheSource(call: Call, chosen: Target): Target | undefined
  /** Returns the prompt tokens of a call that a target surely has to read. */
  pendingPromptTokens(call: Call, target: Target): number
  /** Notes that a call is sent to a target. */
  recordSent(call: Call, target: Target): void
  /** Notes that a target surely did not run a call. */
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

/** Creates a placer. */
export function createTargetSelector(
  options: TargetSelectorOptions,
): TargetSelector {
  const {
    targetList: view,
    load,
    cacheLocations: placements,
    health,
    stallDetector: silence,
    sharesCache,
    now,
  } = options

  return {
    select(call, tried) {
      const nowMs = now()
      const ready = view.ready(call.service, nowMs)
      const eligible = health.eligible(call.service, ready, nowMs)
      const open = eligible.filter(
        ({ id }) => !tried.has(id) && !silence.isStalled(id, nowMs),
      )
      const untried = ready.filter(({ id }) => !tried.has(id))
      const key = keyOf(call)
      return selectTarget({
        targets: open.length > 0 ? open : untried,
        load: (id) => load.total(id, nowMs),
        promptTokens: tokensOf(call.request.promptParts),
        tieBreaker: call.request.attemptId,
        cachedOn: key === undefined ? [] : placements.cachedOn(key),
        ...(key !== undefined && { affinity: key }),
      })
    },
    findCacheSource(call, chosen) {
      const key = keyOf(call)
      if (key === undefined || !sharesCache(call.service)) return undefined
      const holders = placements.cachedOn(key)
      if (holders.includes(chosen.id)) return undefined
      for (const id of holders) {
        const holder = view.find(id)
        if (holder) return holder
      }
      return undefined
    },
    pendingPromptTokens(call, target) {
      const key = keyOf(call)
      if (key === undefined) return 0
      const parts = call.request.promptParts
      if (placements.cachedOn(key).includes(target.id))
        return parts.at(-1)?.tokens ?? 0
      return tokensOf(parts)
    },
    recordSent(call, target) {
      const key = keyOf(call)
      if (key === undefined) return
      const isNew = placements.cachedOn(key).length === 0
      placements.add(key, target.id)
      if (isNew) options.onNewPrompt()
    },
    recordNotRun(call, target) {
      const key = keyOf(call)
      if (key !== undefined) placements.remove(key, target.id)
    },
  }
}
