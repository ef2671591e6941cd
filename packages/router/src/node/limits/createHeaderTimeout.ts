/** How long an answer may be awaited before another target is asked. */
export interface HeaderTimeout {
  /** Notes how long a target took to the head of an answer. */
  recordHeaderTime(route: string, ms: number): void
  /** Returns the milliseconds to wait for the head of an answer on a route. */
  timeoutMs(route: string, targetLatencyMs: number): number
}

/** Part of the target latency after which another target may still be in time. */
const LATENCY_PART = 0.5
/** Times the usual time to the head; beyond it an answer is taken for lost. */
const USUAL_TIMES = 4
/** Part of a new time in the moving average. */
const NEW_PART = 0.1

/** Creates a patience that knows no times yet. */
export function createHeaderTimeout(): HeaderTimeout {
  const usualMs = new Map<string, number>()
  return {
    recordHeaderTime(route, ms) {
      const usual = usualMs.get(route) ?? ms
      usualMs.set(route, usual + NEW_PART * (ms - usual))
    },
    timeoutMs(route, targetLatencyMs) {
      const usual = usualMs.get(route) ?? 0
      // While every target is slow, asking another one makes it worse.
      return Math.max(LATENCY_PART * targetLatencyMs, USUAL_TIMES * usual)
    },
  }
}
