const SAMPLE_WEIGHT = 0.05

/** Mean time that requests run, as a moving average. */
export interface MeanRunTime {
  add(runMs: number): void
  /** Milliseconds; undefined before the first request has ended. */
  readonly meanMs: number | undefined
}

/** Creates a moving average over about the last 20 requests. */
export function createMeanRunTime(): MeanRunTime {
  let meanMs: number | undefined
  return {
    add(runMs) {
      meanMs ??= runMs
      meanMs += (runMs - meanMs) * SAMPLE_WEIGHT
    },
    get meanMs() {
      return meanMs
    },
  }
}
