/** Buckets of a window; it slides in steps of one bucket. */
const BUCKETS = 10
const MS_PER_S = 1_000

/** A rate as an integer count within a window. */
export interface RateLimit {
  readonly count: number
  readonly windowMs: number
}

/** Converts a rate to an integer count in the shortest window of at least 1 s. */
export function toRateLimit(ratePerS: number): RateLimit {
  const count = Math.ceil(ratePerS)
  return { count, windowMs: (count * MS_PER_S) / ratePerS }
}

/** Sliding-window counter that never counts fewer events than occurred. */
export interface RateWindow {
  add(nowMs: number): void
  count(nowMs: number): number
  /** Returns the milliseconds until the oldest bucket leaves the window. */
  nextFreeMs(nowMs: number): number
}

interface Bucket {
  index: number
  count: number
}

/** Creates an empty window that slides in steps of a tenth of its length. */
export function createRateWindow(windowMs: number): RateWindow {
  const stepMs = windowMs / BUCKETS
  const buckets: Bucket[] = []

  function dropExpired(nowMs: number): number {
    const current = Math.floor(nowMs / stepMs)
    while (buckets[0] && buckets[0].index < current - BUCKETS) buckets.shift()
    return current
  }

  return {
    add(nowMs) {
      const index = dropExpired(nowMs)
      const last = buckets.at(-1)
      if (last?.index === index) last.count += 1
      else buckets.push({ index, count: 1 })
    },
    count(nowMs) {
      dropExpired(nowMs)
      let total = 0
      for (const bucket of buckets) total += bucket.count
      return total
    },
    nextFreeMs(nowMs) {
      dropExpired(nowMs)
      const [oldest] = buckets
      if (!oldest) return 0
      return (oldest.index + BUCKETS + 1) * stepMs - nowMs
    },
  }
}
