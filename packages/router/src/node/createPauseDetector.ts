/** Detects pauses of the process, including those that stop the monotonic clock. */
export interface PauseDetector {
  /** Returns whether the process paused since the last call; call it periodically. */
  check(): boolean
}

/** Options for {@link createPauseDetector}. */
export interface PauseDetectorOptions {
  /** Longest time between two checks, timer delay included, that is no pause, in milliseconds. */
  readonly maxGapMs: number
  /** Monotonic clock, which may stop during a suspension, in milliseconds. */
  readonly now: () => number
  /** Wall clock, in milliseconds; a clock step counts as a pause. */
  readonly epochNow: () => number
}

/** Creates a detector that measures from now on. */
export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const { maxGapMs, now, epochNow } = options
  let lastMs = now()
  let lastEpochMs = epochNow()
  return {
    check() {
      const gapMs = now() - lastMs
      const epochGapMs = epochNow() - lastEpochMs
      lastMs += gapMs
      lastEpochMs += epochGapMs
      return gapMs > maxGapMs || Math.abs(epochGapMs - gapMs) > maxGapMs
    },
  }
}
