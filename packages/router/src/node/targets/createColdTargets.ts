import { LRUCache } from 'lru-cache'
import type { ColdStart } from '../configuration/service.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { Target } from './target.js'

/** Options for {@link createColdTargets}. */
export interface ColdTargetsOptions {
  /** Returns what the operator says of cold targets of a service; undefined if they are as good as others. */
  readonly coldStartOf: (service: string) => ColdStart | undefined
  readonly records: SharedRecords
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Targets that have just started, or may have, and fall over under as many requests as others take. */
export interface ColdTargets {
  /** Returns the requests per second that a target takes from the whole fleet while it is cold; undefined if it is warm. */
  limitPerS(target: Target): number | undefined
  /**
   * Records an entry of the target list.
   * @param coldMs Milliseconds for which the target says that it stays cold.
   * @param isInitial Whether the list was empty before: the target may have run for long.
   */
  recordListed(target: Target, coldMs: number, isInitial: boolean): void
  /** Records that a target may have started again without notice. */
  recordPossibleStart(target: Target): void
  /** Returns the targets that are cold now. */
  count(): number
}

/** Targets whose starts and cold times are remembered. */
const MAX_TARGETS = 10_000
/** Smallest extension of a cold time that is passed on, in milliseconds. */
const MIN_EXTENSION_MS = 500
/** Start of a target whose entry names none. */
const UNKNOWN_START = -1

/**
 * Creates a set without targets. A target that this router sees for the first time
 * counts as cold for the whole time that the operator names, whether or not its
 * entry says so: it started before it was seen, and entries arrive late.
 */
export function createColdTargets(options: ColdTargetsOptions): ColdTargets {
  const { coldStartOf, records, log, now } = options
  const kind = RecordKind.TargetCold
  const startedAtMs = new LRUCache<string, number>({ max: MAX_TARGETS })
  const untilMs = new LRUCache<string, number>({ max: MAX_TARGETS })

  function extend(targetId: string, endMs: number): void {
    const knownMs = untilMs.get(targetId) ?? -Infinity
    if (endMs <= Math.max(knownMs, now())) return
    if (knownMs <= now())
      log.write(LogEvent.TargetCold, {
        target: targetId,
        ms: Math.round(endMs - now()),
      })
    untilMs.set(targetId, endMs)
  }

  records.onChange(kind, () => {
    for (const { key, value, observedAtMs } of records.list(kind)) {
      const coldMs = Number(value[0])
      if (Number.isFinite(coldMs)) extend(key, observedAtMs + coldMs)
    }
  })

  /** Whether a target has started since it was last seen. */
  function isNewStart(target: Target): boolean {
    const start = target.startedAtMs ?? UNKNOWN_START
    const known = startedAtMs.get(target.id)
    startedAtMs.set(target.id, start)
    return known !== start
  }

  function recordPossibleStart({ id, service }: Target): void {
    const cold = coldStartOf(service)
    if (cold) extend(id, now() + cold.ms)
  }

  return {
    limitPerS({ id, service }) {
      const endMs = untilMs.get(id)
      if (endMs === undefined || endMs <= now()) return undefined
      return coldStartOf(service)?.requestsPerS
    },
    recordListed(target, coldMs, isInitial) {
      if (isNewStart(target) && !isInitial) recordPossibleStart(target)
      if (coldMs === 0 || !coldStartOf(target.service)) return
      // Routers that follow this one's polls compare lists only by their targets.
      const knownMs = untilMs.get(target.id) ?? -Infinity
      if (now() + coldMs > knownMs + MIN_EXTENSION_MS)
        records.publish(kind, target.id, [String(coldMs)], now())
    },
    recordPossibleStart,
    count() {
      let cold = 0
      for (const endMs of untilMs.values()) if (endMs > now()) cold += 1
      return cold
    },
  }
}
