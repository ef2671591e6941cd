import { LRUCache } from 'lru-cache'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import { findSuspectTraits, type SuspectTrait } from './findSuspectTraits.js'
import type { HarmfulTrait } from './harmfulTrait.js'
import { fingerprintOfTrait, isRequestTrait } from './requestTrait.js'
import { decodeCrash, encodeCrash, type TargetCrash } from './targetCrash.js'

/** Options for {@link createHarmfulTraits}. */
export interface HarmfulTraitsOptions {
  readonly records: SharedRecords
  /** Milliseconds after the last crash for which a harmful trait is refused. */
  readonly lifetimeMs: number
  /** Called for each harmful trait that this router's requests have shown to be harmful, whenever the evidence changes. */
  readonly onFound: (trait: HarmfulTrait) => void
  /** Called when a trait that counted as harmful was answered. */
  readonly onCleared: (trait: string) => void
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Finds the prompt parts and the requests that crash the targets which run them. */
export interface HarmfulTraits {
  /** Records that a target crashed while it ran a request. */
  recordCrash(attemptId: string, crash: TargetCrash): void
  /** Records that a request with these traits was answered completely. */
  recordAnswered(traits: readonly string[]): void
  /** Returns the harmful trait for which a request is refused; undefined if there is none. */
  find(traits: readonly string[]): HarmfulTrait | undefined
  /** Returns the seconds for which requests with a harmful trait are refused. */
  remainingS(trait: HarmfulTrait): number
}

/** Crashes that show a trait to be harmful: chance doesn't bring three without an answer in between. */
const MIN_CRASHES = 3
/** Crashes from which other routers need to know of an answer. */
const MIN_DISPUTED_CRASHES = MIN_CRASHES - 1
/** Answered traits that are remembered, at about 100 bytes each. */
const MAX_ANSWERED = 10_000
/** Traits of requests under which targets crashed here that are remembered. */
const MAX_CRASHED = 1_000
/** A trait answered within this time, in milliseconds, needs no report. */
const RECENT_ANSWER_MS = 5_000
/** Share of the time that updates may take: a target that crashes breaks off all its streams at once. */
const MAX_UPDATE_SHARE = 0.05
/** Traits of one request that are considered, the most specific ones. */
const MAX_TRAITS = 32
/** Longest trait that is considered, in characters. */
const MAX_TRAIT_LENGTH = 64
const MS_PER_S = 1_000
/** Kinds of records that show which traits are harmful. */
const KINDS = [
  RecordKind.TargetCrash,
  RecordKind.TraitAnswered,
  RecordKind.HarmfulTrait,
]

function considered(traits: readonly string[]): string[] {
  return traits
    .filter(({ length }) => length <= MAX_TRAIT_LENGTH)
    .slice(-MAX_TRAITS)
}

/** Returns what a request must have to be refused; undefined if the crashes don't show its trait to be harmful. */
function refusedTraits(
  trait: string,
  { crashes, common }: SuspectTrait,
): readonly string[] | undefined {
  if (crashes < MIN_CRASHES) return undefined
  if (isRequestTrait(trait)) return common
  // One request explains all crashes, so others with the prompt part may be sound.
  return common.some(isRequestTrait) ? undefined : common
}

/** Creates a finder without suspect traits. */
export function createHarmfulTraits(
  options: HarmfulTraitsOptions,
): HarmfulTraits {
  const { records, lifetimeMs, log, now } = options
  const answeredHereAtMs = new LRUCache<string, number>({ max: MAX_ANSWERED })
  const crashedHere = new LRUCache<string, true>({ max: MAX_CRASHED })
  let suspects = new Map<string, SuspectTrait>()
  let harmful = new Map<string, HarmfulTrait>()

  /** Returns the latest time at which each trait was answered. */
  function answersOfFleet(): Map<string, number> {
    const answers = new Map<string, number>()
    for (const { key, observedAtMs } of records.list(RecordKind.TraitAnswered))
      answers.set(key, Math.max(answers.get(key) ?? -Infinity, observedAtMs))
    return answers
  }

  function publishAnswer(trait: string, answeredAtMs: number): void {
    records.publish(RecordKind.TraitAnswered, trait, [], answeredAtMs)
  }

  function findHarmful(
    answers: ReadonlyMap<string, number>,
  ): Map<string, HarmfulTrait> {
    const found = new Map<string, HarmfulTrait>()
    for (const record of records.list(RecordKind.HarmfulTrait)) {
      const { key: trait, value: common, observedAtMs: lastCrashAtMs } = record
      if (lastCrashAtMs > (answers.get(trait) ?? -Infinity))
        found.set(trait, { trait, common, lastCrashAtMs })
    }
    for (const [trait, suspect] of suspects) {
      const common = refusedTraits(trait, suspect)
      const { lastCrashAtMs } = suspect
      if (common) found.set(trait, { trait, common, lastCrashAtMs })
    }
    return found
  }

  function logBlocked({ trait, common }: HarmfulTrait): void {
    const fingerprint = fingerprintOfTrait(trait)
    if (fingerprint !== undefined)
      log.write(LogEvent.RequestBlocked, { fingerprint })
    else log.write(LogEvent.PartBlocked, { part: trait, common: common.join() })
  }

  function logAllowed(trait: string): void {
    const fingerprint = fingerprintOfTrait(trait)
    if (fingerprint !== undefined)
      log.write(LogEvent.RequestAllowed, { fingerprint })
    else log.write(LogEvent.PartAllowed, { part: trait })
  }

  function update(): void {
    const answers = answersOfFleet()
    suspects = findSuspectTraits(
      records.list(RecordKind.TargetCrash).map(decodeCrash),
      (trait) => answers.get(trait) ?? -Infinity,
      MIN_CRASHES,
    )
    const before = harmful
    harmful = findHarmful(answers)
    for (const [trait, found] of harmful) {
      if (!before.has(trait)) logBlocked(found)
      if (crashedHere.has(trait)) options.onFound(found)
    }
    for (const trait of before.keys())
      if (!harmful.has(trait)) logAllowed(trait)
    // Routers that saw no answer count the crashes before it.
    for (const [trait, { crashes, firstCrashAtMs }] of suspects) {
      const answeredAtMs = answeredHereAtMs.get(trait) ?? -Infinity
      if (crashes >= MIN_DISPUTED_CRASHES && answeredAtMs > firstCrashAtMs)
        publishAnswer(trait, answeredAtMs)
    }
  }

  let updateTimer: NodeJS.Timeout | undefined
  let nextUpdateAtMs = -Infinity

  /** Updates at once, or later if updates have taken more than their share of the time. */
  function requestUpdate(): void {
    if (updateTimer !== undefined) return
    const startedAtMs = now()
    if (startedAtMs < nextUpdateAtMs) {
      updateTimer = setTimeout(() => {
        updateTimer = undefined
        requestUpdate()
      }, nextUpdateAtMs - startedAtMs).unref()
      return
    }
    update()
    const tookMs = now() - startedAtMs
    nextUpdateAtMs = startedAtMs + tookMs / MAX_UPDATE_SHARE
  }

  for (const kind of KINDS) records.onChange(kind, requestUpdate)

  return {
    recordCrash(attemptId, crash) {
      const traits = considered(crash.traits)
      const recentMs = now() - RECENT_ANSWER_MS
      const isRecent = (trait: string): boolean =>
        (answeredHereAtMs.get(trait) ?? -Infinity) >= recentMs
      if (traits.every(isRecent)) return
      for (const trait of traits) crashedHere.set(trait, true)
      records.publish(
        RecordKind.TargetCrash,
        `${attemptId}/${crash.target}`,
        encodeCrash({ ...crash, traits }),
        crash.crashedAtMs,
      )
    },
    recordAnswered(traits) {
      for (const trait of considered(traits)) {
        answeredHereAtMs.set(trait, now())
        const wasHarmful = harmful.has(trait)
        const crashes = suspects.get(trait)?.crashes ?? 0
        if (!wasHarmful && crashes < MIN_DISPUTED_CRASHES) continue
        publishAnswer(trait, now())
        if (wasHarmful) options.onCleared(trait)
      }
    },
    find(traits) {
      if (harmful.size === 0) return undefined
      for (const trait of traits) {
        const found = harmful.get(trait)
        if (!found || now() - found.lastCrashAtMs > lifetimeMs) continue
        if (found.common.every((other) => traits.includes(other))) return found
      }
      return undefined
    },
    remainingS: ({ lastCrashAtMs }) =>
      Math.max(1, Math.ceil((lastCrashAtMs + lifetimeMs - now()) / MS_PER_S)),
  }
}
