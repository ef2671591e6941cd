/** Keeps the last plausible target list of a service over an implausible one. */
export interface TargetListGuard {
  /** Returns the targets to use: `listed`, or the last accepted list. */
  accept(listed: readonly string[], nowMs: number): readonly string[]
}

/** Options for {@link createTargetListGuard}. */
export interface TargetListGuardOptions {
  /** Share of the targets that may vanish at once. @default 0.5 */
  readonly maxVanished?: number
  /** Milliseconds after which a smaller list is accepted. @default 60000 */
  readonly acceptAfterMs?: number
}

/**
 * Creates a guard that fails static: when more than `maxVanished` of the
 * targets vanish at once, the new list is assumed to be wrong.
 */
export function createTargetListGuard(
  options: TargetListGuardOptions = {},
): TargetListGuard {
  const { maxVanished = 0.5, acceptAfterMs = 60_000 } = options
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
        if (nowMs - suspectSinceMs < acceptAfterMs) return last
        suspectSinceMs = undefined
      }
      last = [...listed]
      return last
    },
  }
}
