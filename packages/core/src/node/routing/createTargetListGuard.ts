/** Keeps the last good view of a service's targets when a new one is suspect. */
export interface TargetListGuard {
  /** Returns the targets that may take new work, out of those listed. */
  accept(listed: readonly string[], nowMs: number): readonly string[]
}

/** What a view guard works with. */
export interface TargetListGuardOptions {
  /** Share of the targets that may vanish at once. @default 0.5 */
  readonly maxVanished?: number
  /** Milliseconds until a smaller view is believed after all. @default 60000 */
  readonly believeAfterMs?: number
}

/**
 * Creates a guard that fails static: when more than `maxVanished` of the
 * targets vanish at once, the list is taken to be wrong.
 */
export function createTargetListGuard(
  options: TargetListGuardOptions = {},
): TargetListGuard {
  const { maxVanished = 0.5, believeAfterMs = 60_000 } = options
  let last: readonly string[] = []
  let suspectSinceMs: number | undefined

  function isSuspect(listed: readonly string[]): boolean {
    const present = new Set(listed)
    const vanished = last.filter((id) => !present.has(id)).length
    return vanished > maxVanished * last.length
  }

  return {
    accept(listed, nowMs) {
      if (!isSuspect(listed)) suspectSinceMs = undefined
      else {
        suspectSinceMs ??= nowMs
        if (nowMs - suspectSinceMs < believeAfterMs) return last
        suspectSinceMs = undefined
      }
      last = [...listed]
      return last
    },
  }
}
