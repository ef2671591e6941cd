/** Notices that the process stood still, also where the steady clock did. */
export interface PauseDetector {
  /** Returns whether there was a pause since the last call; call it regularly. */
  check(): boolean
}

/** What a detector works with. */
export interface PauseDetectorOptions {
  /** Time between two checks and delay of one, in milliseconds, that are no pause. */
  readonly maxGapMs: number
  /** Steady clock, which may not count a suspension, in milliseconds. */
  readonly now: () => number
  /** Time of day, in milliseconds; a step of it counts as a pause. */
  readonly epochNow: () => number
}

/** Creates a detector that starts now. */
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
