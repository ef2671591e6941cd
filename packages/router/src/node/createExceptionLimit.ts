/** Exceptions within {@link WINDOW_MS} after which a router starts anew: its state can no longer be trusted. */
const MAX_EXCEPTIONS = 10
const WINDOW_MS = 10_000

/**
 * Creates a check that counts an exception that nothing handled and returns whether
 * the process may go on.
 * @param now Monotonic clock, in milliseconds.
 */
export function createExceptionLimit(now: () => number): () => boolean {
  let timesMs: number[] = []
  return () => {
    const nowMs = now()
    timesMs = timesMs.filter((timeMs) => timeMs > nowMs - WINDOW_MS)
    timesMs.push(nowMs)
    return timesMs.length < MAX_EXCEPTIONS
  }
}
