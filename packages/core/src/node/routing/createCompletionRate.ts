/** Estimates the share of the requests in flight that ends per millisecond. */
export interface CompletionRate {
  readonly perMs: number
  /** Records that `ended` of `inFlight` requests ended within `elapsedMs`. */
  record(ended: number, inFlight: number, elapsedMs: number): void
}

const SMOOTHING = 0.02
/** Rate before the first sample: requests of five seconds. */
const INITIAL_PER_MS = 1 / 5_000

/** Creates an exponentially weighted moving average of the rate. */
export function createCompletionRate(): CompletionRate {
  let endedMean = INITIAL_PER_MS * 1_000
  let exposureMean = 1_000
  return {
    get perMs() {
      return endedMean / exposureMean
    },
    record(ended, inFlight, elapsedMs) {
      const exposure = Math.max(inFlight, ended) * elapsedMs
      if (exposure <= 0) return
      endedMean += SMOOTHING * (ended - endedMean)
      exposureMean += SMOOTHING * (exposure - exposureMean)
    },
  }
}
