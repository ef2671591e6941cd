/** Options for {@link queueCapacity}. */
export interface QueueCapacityOptions {
  /** Requests that may run at once. */
  readonly concurrency: number
  /** Mean run time of a request in milliseconds; undefined if unknown. */
  readonly meanRunMs: number | undefined
  /** Longest time in which the queue drains, in milliseconds. */
  readonly drainMs: number
  /** Upper limit of the capacity, also used while the run time is unknown. */
  readonly maxWaiting: number
}

/**
 * Returns how many requests may wait so that the queue drains within `drainMs`
 * (Little's law).
 */
export function queueCapacity(options: QueueCapacityOptions): number {
  const { concurrency, meanRunMs, drainMs, maxWaiting } = options
  if (meanRunMs === undefined || meanRunMs <= 0) return maxWaiting
  const drained = Math.ceil((concurrency / meanRunMs) * drainMs)
  return Math.max(1, Math.min(maxWaiting, drained))
}
