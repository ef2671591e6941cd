import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { TargetList } from './createTargetList.js'
import type { Target } from './target.js'
import { decodeIncarnation, targetIncarnation } from './targetIncarnation.js'

/** Options for {@link createLeavingTargets}. */
export interface LeavingTargetsOptions {
  readonly records: SharedRecords
  readonly targetList: TargetList
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Time of day, in milliseconds since the epoch. */
  readonly timeOfDay: () => number
}

/** Targets that have said in a response that they leave; every router of the fleet learns of them. */
export interface LeavingTargets {
  /** Adds a target until it starts again. */
  add(target: Target): void
}

/** Creates the set of leaving targets, which get no new requests from a target list. */
export function createLeavingTargets(
  options: LeavingTargetsOptions,
): LeavingTargets {
  const { records, targetList, log, now, timeOfDay } = options
  const kind = RecordKind.TargetLeaving

  records.onChange(kind, () => {
    for (const { key, value, origin, observedAtMs } of records.list(kind)) {
      const start = decodeIncarnation(key, value[0] ?? key)
      if (targetList.isLeaving(start)) continue
      const ageMs = now() - observedAtMs
      targetList.markLeaving(start, timeOfDay() - ageMs)
      log.write(LogEvent.TargetLeaving, {
        target: start.id,
        startedAtMs: start.startedAtMs,
        origin,
        ageMs: Math.round(ageMs),
      })
    }
  })

  return {
    add(target) {
      if (targetList.isLeaving(target)) return
      records.publish(kind, targetIncarnation(target), [target.id], now())
    },
  }
}
