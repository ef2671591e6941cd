import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { Target } from '../targets/target.js'
import { createStartStatements } from '../targets/createStartStatements.js'

/** Options for {@link createTargetPauses}. */
export interface TargetPausesOptions {
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Time of day, in milliseconds since the epoch. */
  readonly timeOfDay: () => number
}

/** Times for which targets want no requests from this router. */
export interface TargetPauses {
  /** Records the seconds that a target named; not a number if they cannot be read. */
  observe(target: Target, pauseS: number): void
  /** Returns the milliseconds until a target takes requests again; 0 if it does. */
  waitMs(target: Target): number
}

/** Longest pause, in seconds; a target with a longer one gets a request then, and may name it again. */
const MAX_PAUSE_S = 300
/** Targets whose pauses are remembered. */
const MAX_TARGETS = 10_000
const MS_PER_S = 1_000

/** Creates pauses without an observation. */
export function createTargetPauses(options: TargetPausesOptions): TargetPauses {
  const { log, now, timeOfDay } = options
  const untilMs = createStartStatements<number>(MAX_TARGETS)
  let hasRejected = false

  function waitMs(target: Target): number {
    return Math.max(0, (untilMs.find(target) ?? 0) - now())
  }

  return {
    observe(target, pauseS) {
      if (Number.isNaN(pauseS)) {
        if (hasRejected) return
        hasRejected = true
        const reason = 'expected seconds in the Retry-After of a refusal'
        log.write(LogEvent.TargetPauseRejected, { target: target.id, reason })
        return
      }
      const pauseMs = Math.min(pauseS, MAX_PAUSE_S) * MS_PER_S
      if (pauseMs <= waitMs(target)) return
      untilMs.set(target, now() + pauseMs, timeOfDay())
      log.write(LogEvent.TargetPaused, {
        target: target.id,
        startedAtMs: target.startedAtMs,
        ms: pauseMs,
      })
    },
    waitMs,
  }
}
