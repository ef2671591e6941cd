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

/** Groups crashes by trait, without those from before the trait was last answered. */
function seriesOf(
  crashes: readonly TargetCrash[],
  answeredAtMs: (trait: string) => number,
): Map<string, CrashSeries> {
  const seriesByTrait = new Map<string, CrashSeries>()
  for (const crash of crashes) {
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
  return seriesByTrait
}

/** Returns the requests that explain the crash of each target: they have crashed `minCrashes` of them. */
function explanationsOf(
  seriesByTrait: ReadonlyMap<string, CrashSeries>,
  minCrashes: number,
): Map<string, Set<string>> {
  const explanations = new Map<string, Set<string>>()
  for (const [trait, { traitsByTarget }] of seriesByTrait) {
    if (!isRequestTrait(trait) || traitsByTarget.size < minCrashes) continue
    for (const target of traitsByTarget.keys()) {
      const traits = explanations.get(target) ?? new Set<string>()
      explanations.set(target, traits.add(trait))
    }
  }
  return explanations
}

/**
 * Returns the traits under which targets crashed, by crashes since each trait was last answered.
 * For a prompt part, targets that crash together, as when a rack fails, count once: their
 * requests were sent before. Nor do crashes count for it that a request explains which the
 * target ran beside those with the part.
 * @param answeredAtMs Returns when a trait was last answered; -Infinity if it was not.
 * @param minCrashes Crashes from which a request explains them.
 */
export function findSuspectTraits(
  crashes: readonly TargetCrash[],
  answeredAtMs: (trait: string) => number,
  minCrashes: number,
): Map<string, SuspectTrait> {
  const inOrder = crashes.toSorted((a, b) => a.crashedAtMs - b.crashedAtMs)
  const seriesByTrait = seriesOf(inOrder, answeredAtMs)
  const explanations = explanationsOf(seriesByTrait, minCrashes)
  if (explanations.size > 0) {
    const unexplained = inOrder.filter(({ target, traits }) => {
      const requests = explanations.get(target)
      return !requests || traits.some((trait) => requests.has(trait))
    })
    const remaining = seriesOf(unexplained, answeredAtMs)
    for (const trait of seriesByTrait.keys()) {
      if (isRequestTrait(trait)) continue
      const series = remaining.get(trait)
      if (series) seriesByTrait.set(trait, series)
      else seriesByTrait.delete(trait)
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
