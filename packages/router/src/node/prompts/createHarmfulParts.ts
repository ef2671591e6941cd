import { LRUCache } from 'lru-cache'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import { findSuspectParts, type SuspectPart } from './findSuspectParts.js'
import type { HarmfulPart } from './harmfulPart.js'
import { decodeCrash, encodeCrash, type TargetCrash } from './targetCrash.js'

/** Options for {@link createHarmfulParts}. */
export interface HarmfulPartsOptions {
  readonly records: SharedRecords
  /** Milliseconds after the last crash for which a harmful part is refused. */
  readonly lifetimeMs: number
  /** Called for each harmful part that this router's requests have shown to be harmful, whenever the evidence changes. */
  readonly onFound: (part: HarmfulPart) => void
  /** Called when a part that counted as harmful was answered. */
  readonly onCleared: (part: string) => void
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Finds the prompt parts that crash the targets which answer them. */
export interface HarmfulParts {
  /** Records that a target broke off as it began to answer a request. */
  recordCrash(attemptId: string, crash: TargetCrash): void
  /** Records that a request with these shared parts was answered completely. */
  recordAnswered(parts: readonly string[]): void
  /** Returns the harmful part for which a request is refused; undefined if there is none. */
  find(parts: readonly string[]): HarmfulPart | undefined
  /** Returns the seconds for which requests with a harmful part are refused. */
  remainingS(part: HarmfulPart): number
}

/** Crashes that show a part to be harmful: chance doesn't bring three without an answer in between. */
const MIN_CRASHES = 3
/** Crashes from which other routers need to know of an answer. */
const MIN_DISPUTED_CRASHES = MIN_CRASHES - 1
/** Answered parts that are remembered, at about 100 bytes each. */
const MAX_ANSWERED = 10_000
/** Parts of requests under which targets crashed here that are remembered. */
const MAX_CRASHED = 1_000
/** A part answered within this time, in milliseconds, needs no report. */
const RECENT_ANSWER_MS = 5_000
/** Parts of one request that are considered, the most specific ones. */
const MAX_PARTS = 32
/** Longest id of a part that is considered, in characters. */
const MAX_PART_LENGTH = 64
const MS_PER_S = 1_000
/** Kinds of records that show which parts are harmful. */
const KINDS = [
  RecordKind.TargetCrash,
  RecordKind.PartAnswered,
  RecordKind.HarmfulPart,
]

function considered(parts: readonly string[]): string[] {
  return parts
    .filter(({ length }) => length <= MAX_PART_LENGTH)
    .slice(-MAX_PARTS)
}

/** Creates a finder without suspect parts. */
export function createHarmfulParts(options: HarmfulPartsOptions): HarmfulParts {
  const { records, lifetimeMs, log, now } = options
  const answeredHereAtMs = new LRUCache<string, number>({ max: MAX_ANSWERED })
  const crashedHere = new LRUCache<string, true>({ max: MAX_CRASHED })
  let suspects = new Map<string, SuspectPart>()
  let harmful = new Map<string, HarmfulPart>()

  /** Returns the latest time at which each part was answered. */
  function answersOfFleet(): Map<string, number> {
    const answers = new Map<string, number>()
    for (const { key, observedAtMs } of records.list(RecordKind.PartAnswered))
      answers.set(key, Math.max(answers.get(key) ?? -Infinity, observedAtMs))
    return answers
  }

  function publishAnswer(part: string, answeredAtMs: number): void {
    records.publish(RecordKind.PartAnswered, part, [], answeredAtMs)
  }

  function findHarmful(
    answers: ReadonlyMap<string, number>,
  ): Map<string, HarmfulPart> {
    const found = new Map<string, HarmfulPart>()
    for (const record of records.list(RecordKind.HarmfulPart)) {
      const { key: part, value: common, observedAtMs: lastCrashAtMs } = record
      if (lastCrashAtMs > (answers.get(part) ?? -Infinity))
        found.set(part, { part, common, lastCrashAtMs })
    }
    for (const [part, { crashes, common, lastCrashAtMs }] of suspects)
      if (crashes >= MIN_CRASHES)
        found.set(part, { part, common, lastCrashAtMs })
    return found
  }

  function update(): void {
    const answers = answersOfFleet()
    suspects = findSuspectParts(
      records.list(RecordKind.TargetCrash).map(decodeCrash),
      (part) => answers.get(part) ?? -Infinity,
    )
    const before = harmful
    harmful = findHarmful(answers)
    for (const [part, found] of harmful) {
      if (!before.has(part))
        log.write(LogEvent.PartBlocked, { part, common: found.common.join() })
      if (crashedHere.has(part)) options.onFound(found)
    }
    for (const part of before.keys())
      if (!harmful.has(part)) log.write(LogEvent.PartAllowed, { part })
    // Routers that saw no answer count the crashes before it.
    for (const [part, { crashes, firstCrashAtMs }] of suspects) {
      const answeredAtMs = answeredHereAtMs.get(part) ?? -Infinity
      if (crashes >= MIN_DISPUTED_CRASHES && answeredAtMs > firstCrashAtMs)
        publishAnswer(part, answeredAtMs)
    }
  }

  for (const kind of KINDS) records.onChange(kind, update)

  return {
    recordCrash(attemptId, crash) {
      const parts = considered(crash.parts)
      const recentMs = now() - RECENT_ANSWER_MS
      const isRecent = (part: string): boolean =>
        (answeredHereAtMs.get(part) ?? -Infinity) >= recentMs
      if (parts.every(isRecent)) return
      for (const part of parts) crashedHere.set(part, true)
      records.publish(
        RecordKind.TargetCrash,
        `${attemptId}/${crash.target}`,
        encodeCrash({ ...crash, parts }),
        crash.crashedAtMs,
      )
    },
    recordAnswered(parts) {
      for (const part of considered(parts)) {
        answeredHereAtMs.set(part, now())
        const wasHarmful = harmful.has(part)
        const crashes = suspects.get(part)?.crashes ?? 0
        if (!wasHarmful && crashes < MIN_DISPUTED_CRASHES) continue
        publishAnswer(part, now())
        if (wasHarmful) options.onCleared(part)
      }
    },
    find(parts) {
      if (harmful.size === 0) return undefined
      for (const part of parts) {
        const found = harmful.get(part)
        if (!found || now() - found.lastCrashAtMs > lifetimeMs) continue
        if (found.common.every((other) => parts.includes(other))) return found
      }
      return undefined
    },
    remainingS: ({ lastCrashAtMs }) =>
      Math.max(1, Math.ceil((lastCrashAtMs + lifetimeMs - now()) / MS_PER_S)),
  }
}
