import type { TargetCrash } from './targetCrash.js'

/** A trait of requests under which targets crashed. */
export interface SuspectTrait {
  /** Crashes of different targets, each under a request sent after the one before. */
  crashes: number
  /** Parts that all requests under which they crashed had. */
  common: readonly string[]
  readonly firstCrashAtMs: number
  lastCrashAtMs: number
}

/**
 * Returns the traits under which targets crashed, by crashes since each trait was last answered.
 * Targets that crash together, as when a rack fails, count once: their requests were sent before.
 * @param answeredAtMs Returns when a trait was last answered; -Infinity if it was not.
 */
export function findSuspectTraits(
  crashes: readonly TargetCrash[],
  answeredAtMs: (trait: string) => number,
): Map<string, SuspectTrait> {
  const suspects = new Map<string, SuspectTrait>()
  const crashedTargets = new Map<string, Set<string>>()
  const inOrder = crashes.toSorted((a, b) => a.crashedAtMs - b.crashedAtMs)
  for (const { target, sentAtMs, crashedAtMs, traits } of inOrder) {
    for (const trait of traits) {
      if (crashedAtMs <= answeredAtMs(trait)) continue
      const suspect = suspects.get(trait)
      const targets = crashedTargets.get(trait)
      if (!suspect || !targets) {
        crashedTargets.set(trait, new Set([target]))
        suspects.set(trait, {
          crashes: 1,
          common: traits,
          firstCrashAtMs: crashedAtMs,
          lastCrashAtMs: crashedAtMs,
        })
        continue
      }
      suspect.common = suspect.common.filter((other) => traits.includes(other))
      if (targets.has(target) || sentAtMs < suspect.lastCrashAtMs) continue
      targets.add(target)
      suspect.crashes += 1
      suspect.lastCrashAtMs = crashedAtMs
    }
  }
  return suspects
}
