/** Learns which share of the requests in flight ends in a millisecond. */
export interface EndingRate {
  readonly perMs: number
  /** Takes in how many of `inFlight` ended within `elapsedMs`. */
  note(ended: number, inFlight: number, elapsedMs: number): void
}

const SMOOTHING = 0.02
/** Ending rate before anything was seen: requests of five seconds. */
const INITIAL_PER_MS = 1 / 5_000

/** Creates an exponentially weighted rate. */
export function createEndingRate(): EndingRate {
  let endedMean = INITIAL_PER_MS * 1_000
  let exposureMean = 1_000
  return {
    get perMs() {
      return endedMean / exposureMean
    },
    note(ended, inFlight, elapsedMs) {
      const exposure = Math.max(inFlight, ended) * elapsedMs
      if (exposure <= 0) return
      endedMean += SMOOTHING * (ended - endedMean)
      exposureMean += SMOOTHING * (exposure - exposureMean)
    },
  }
}
