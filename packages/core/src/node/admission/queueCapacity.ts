/** What the length of a queue is bounded by. */
export interface QueueCapacityOptions {
  /** Requests that run at once. */
  readonly concurrency: number
  /** Mean time that a request runs, in milliseconds; undefined at first. */
  readonly meanRunMs: number | undefined
  /** Longest time that working off the queue may take, in milliseconds. */
  readonly drainMs: number
  /** Requests that wait at most in any case. */
  readonly maxWaiting: number
}

/**
 * Returns how many requests may wait so that the queue is worked off within
 * `drainMs` (Little's law).
 */
export function queueCapacity(options: QueueCapacityOptions): number {
  const { concurrency, meanRunMs, drainMs, maxWaiting } = options
  if (meanRunMs === undefined || meanRunMs <= 0) return maxWaiting
  const drained = Math.ceil((concurrency / meanRunMs) * drainMs)
  return Math.max(1, Math.min(maxWaiting, drained))
}
