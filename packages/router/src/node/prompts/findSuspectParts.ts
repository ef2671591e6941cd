import type { TargetCrash } from './targetCrash.js'

/** A prompt part under which targets crashed. */
export interface SuspectPart {
  /** Crashes of different targets, each under a request sent after the one before. */
  crashes: number
  /** Parts that all requests under which they crashed had. */
  common: readonly string[]
  readonly firstCrashAtMs: number
  lastCrashAtMs: number
}

/**
 * Returns the parts under which targets crashed, by crashes since each part was last answered.
 * Targets that crash together, as when a rack fails, count once: their requests were sent before.
 * @param answeredAtMs Returns when a part was last answered; -Infinity if it was not.
 */
export function findSuspectParts(
  crashes: readonly TargetCrash[],
  answeredAtMs: (part: string) => number,
): Map<string, SuspectPart> {
  const suspects = new Map<string, SuspectPart>()
  const crashedTargets = new Map<string, Set<string>>()
  const inOrder = crashes.toSorted((a, b) => a.crashedAtMs - b.crashedAtMs)
  for (const { target, sentAtMs, crashedAtMs, parts } of inOrder) {
    for (const part of parts) {
      if (crashedAtMs <= answeredAtMs(part)) continue
      const suspect = suspects.get(part)
      const targets = crashedTargets.get(part)
      if (!suspect || !targets) {
        crashedTargets.set(part, new Set([target]))
        suspects.set(part, {
          crashes: 1,
          common: parts,
          firstCrashAtMs: crashedAtMs,
          lastCrashAtMs: crashedAtMs,
        })
        continue
      }
      suspect.common = suspect.common.filter((other) => parts.includes(other))
      if (targets.has(target) || sentAtMs < suspect.lastCrashAtMs) continue
      targets.add(target)
      suspect.crashes += 1
      suspect.lastCrashAtMs = crashedAtMs
    }
  }
  return suspects
}
