import type { Target } from '../targets/target.js'

/** How often the targets of each service are lost as holders of cached prompts. */
export interface TargetLossRates {
  /** Records the ready targets of a service; those that are missing since the last call were lost. */
  observe(service: string, ready: readonly Target[], nowMs: number): void
  /** Returns the expected losses per target and millisecond. */
  lossesPerMs(service: string): number
}

/** Losses assumed before any is observed, as in the Jeffreys prior of a Poisson rate. */
const PRIOR_LOSSES = 0.5
/** Target-milliseconds after which older observations lose half of their weight. */
const MAX_EXPOSURE_MS = 10 * 3_600_000

interface Observations {
  ready: readonly Target[]
  observedAtMs: number
  /** Sum of the milliseconds that each target was observed. */
  exposureMs: number
  losses: number
}

function countLost(
  before: readonly Target[],
  after: readonly Target[],
): number {
  const ids = new Set(after.map(({ id }) => id))
  let lost = 0
  for (const { id } of before) if (!ids.has(id)) lost += 1
  return lost
}

/** Creates loss rates without observations. */
export function createTargetLossRates(): TargetLossRates {
  const byService = new Map<string, Observations>()

  return {
    observe(service, ready, nowMs) {
      const last = byService.get(service)
      if (!last) {
        byService.set(service, {
          ready,
          observedAtMs: nowMs,
          exposureMs: 0,
          losses: 0,
        })
        return
      }
      last.exposureMs += last.ready.length * (nowMs - last.observedAtMs)
      last.observedAtMs = nowMs
      if (last.ready !== ready) {
        last.losses += countLost(last.ready, ready)
        last.ready = ready
      }
      if (last.exposureMs < MAX_EXPOSURE_MS) return
      last.exposureMs /= 2
      last.losses /= 2
    },
    lossesPerMs(service) {
      const observations = byService.get(service)
      if (!observations || observations.exposureMs === 0) return 0
      return (observations.losses + PRIOR_LOSSES) / observations.exposureMs
    },
  }
}
