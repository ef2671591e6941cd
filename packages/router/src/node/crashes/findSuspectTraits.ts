import { isRequestTrait } from './requestTrait.js'
import type { TargetCrash } from './targetCrash.js'

/** A trait of requests under which targets crashed. */
export interface SuspectTrait {
  /** Crashes of different targets; under a prompt part, each by a request sent after the one before. */
  readonly crashes: number
  /** Traits with which every one of these crashes can be explained as well. */
  readonly common: readonly string[]
  readonly firstCrashAtMs: number
  readonly lastCrashAtMs: number
}

/** Crashes under requests with one trait, in order. */
interface CrashSeries {
  readonly firstCrashAtMs: number
  lastCrashAtMs: number
  /** Traits of the requests with the trait that each target broke off when it crashed. */
  readonly traitsByTarget: Map<string, Set<string>>
}

function commonOf({ traitsByTarget }: CrashSeries): string[] {
  const [first = new Set<string>(), ...others] = traitsByTarget.values()
  return [...first].filter((trait) => others.every((set) => set.has(trait)))
}

function addCrash(
  trait: string,
  series: CrashSeries,
  { target, sentAtMs, crashedAtMs, traits }: TargetCrash,
): void {
  const known = series.traitsByTarget.get(target)
  if (known) {
    for (const trait of traits) known.add(trait)
    return
  }
  // Targets that fail together seldom run one and the same request.
  if (sentAtMs < series.lastCrashAtMs && !isRequestTrait(trait)) return
  series.traitsByTarget.set(target, new Set(traits))
  series.lastCrashAtMs = crashedAtMs
}

/**
 * Returns the traits under which targets crashed, by crashes since each trait was last answered.
 * For a prompt part, targets that crash together, as when a rack fails, count once: their
 * requests were sent before.
 * @param answeredAtMs Returns when a trait was last answered; -Infinity if it was not.
 */
export function findSuspectTraits(
  crashes: readonly TargetCrash[],
  answeredAtMs: (trait: string) => number,
): Map<string, SuspectTrait> {
  const seriesByTrait = new Map<string, CrashSeries>()
  const inOrder = crashes.toSorted((a, b) => a.crashedAtMs - b.crashedAtMs)
  for (const crash of inOrder) {
    const { target, crashedAtMs, traits } = crash
    for (const trait of traits) {
      if (crashedAtMs <= answeredAtMs(trait)) continue
      const series = seriesByTrait.get(trait)
      if (series) addCrash(trait, series, crash)
      else
        seriesByTrait.set(trait, {
          firstCrashAtMs: crashedAtMs,
          lastCrashAtMs: crashedAtMs,
          traitsByTarget: new Map([[target, new Set(traits)]]),
        })
    }
  }
  const suspects = new Map<string, SuspectTrait>()
  for (const [trait, series] of seriesByTrait)
    suspects.set(trait, {
      crashes: series.traitsByTarget.size,
      common: commonOf(series),
      firstCrashAtMs: series.firstCrashAtMs,
      lastCrashAtMs: series.lastCrashAtMs,
    })
  return suspects
}
