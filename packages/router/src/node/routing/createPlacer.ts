import type { Call } from '../callers/call.js'
import type { PromptPart } from '../callers/promptPart.js'
import type { SilenceWatch } from '../health/createSilenceWatch.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetView } from '../targets/createTargetView.js'
import type { Target } from '../targets/target.js'
import { affinityKey } from './affinityKey.js'
import { choosePlace } from './choosePlace.js'
import type { FleetLoad } from './createFleetLoad.js'
import type { Placements } from './createPlacements.js'

/** What a placer decides from. */
export interface PlacerOptions {
  readonly view: TargetView
  readonly load: FleetLoad
  readonly placements: Placements
  readonly health: TargetHealth
  readonly silence: SilenceWatch
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  /** Called when a prompt that no target held was placed. */
  readonly onNewPrompt: () => void
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Chooses the targets of calls. */
export interface Placer {
  /** Returns the target for a call's next send; undefined where there is none. */
  place(call: Call, tried: ReadonlySet<string>): Target | undefined
  /** Returns a target that holds the call's prompt, where the one chosen does not. */
  findSource(call: Call, chosen: Target): Target | undefined
  /** Returns the prompt tokens of a call that a target surely has to read. */
  unreadTokens(call: Call, target: Target): number
  /** Notes that a call is sent to a target. */
  placed(call: Call, target: Target): void
  /** Notes that a target surely did not run a call. */
  lost(call: Call, target: Target): void
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
export function createPlacer(options: PlacerOptions): Placer {
  const { view, load, placements, health, silence, sharesCache, now } = options

  return {
    place(call, tried) {
      const nowMs = now()
      const ready = view.ready(call.service, nowMs)
      const eligible = health.eligible(call.service, ready, nowMs)
      const open = eligible.filter(
        ({ id }) => !tried.has(id) && !silence.isSilent(id, nowMs),
      )
      const untried = ready.filter(({ id }) => !tried.has(id))
      const key = keyOf(call)
      return choosePlace({
        targets: open.length > 0 ? open : untried,
        work: (id) => load.total(id, nowMs),
        promptTokens: tokensOf(call.request.promptParts),
        spread: call.request.attemptId,
        holders: key === undefined ? [] : placements.holders(key),
        ...(key !== undefined && { affinity: key }),
      })
    },
    findSource(call, chosen) {
      const key = keyOf(call)
      if (key === undefined || !sharesCache(call.service)) return undefined
      const holders = placements.holders(key)
      if (holders.includes(chosen.id)) return undefined
      for (const id of holders) {
        const holder = view.find(id)
        if (holder) return holder
      }
      return undefined
    },
    unreadTokens(call, target) {
      const key = keyOf(call)
      if (key === undefined) return 0
      const parts = call.request.promptParts
      if (placements.holders(key).includes(target.id))
        return parts.at(-1)?.tokens ?? 0
      return tokensOf(parts)
    },
    placed(call, target) {
      const key = keyOf(call)
      if (key === undefined) return
      const isNew = placements.holders(key).length === 0
      placements.placed(key, target.id)
      if (isNew) options.onNewPrompt()
    },
    lost(call, target) {
      const key = keyOf(call)
      if (key !== undefined) placements.lost(key, target.id)
    },
  }
}
