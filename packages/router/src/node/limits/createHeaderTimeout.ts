/** How long to wait for response headers before sending to another target. */
export interface HeaderTimeout {
  /** Records how long a target took to send response headers. */
  recordHeaderTime(route: string, ms: number): void
  /** Returns the milliseconds to wait for response headers on a route. */
  timeoutMs(route: string, targetLatencyMs: number): number
}

/** Fraction of the target latency after which another target may still respond within it. */
const LATENCY_FRACTION = 0.5
/** Multiple of the mean header time beyond which a response counts as lost. */
const MEAN_MULTIPLE = 4
/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1

/** Creates a header timeout without samples. */
export function createHeaderTimeout(): HeaderTimeout {
  const meanMs = new Map<string, number>()
  return {
    recordHeaderTime(route, ms) {
      const mean = meanMs.get(route) ?? ms
      meanMs.set(route, mean + SAMPLE_WEIGHT * (ms - mean))
    },
    timeoutMs(route, targetLatencyMs) {
      const mean = meanMs.get(route) ?? 0
      // While every target is slow, sending to another one only adds load.
      return Math.max(LATENCY_FRACTION * targetLatencyMs, MEAN_MULTIPLE * mean)
    },
  }
}
