/** Weight of a sample: the average covers about the last 20 requests. */
const SAMPLE_WEIGHT = 0.05

/** Exponential moving average of the run time of requests. */
export interface MeanRunTime {
  add(runMs: number): void
  /** Mean in milliseconds; undefined before the first request has ended. */
  readonly meanMs: number | undefined
}

/** Creates an average without samples. */
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
