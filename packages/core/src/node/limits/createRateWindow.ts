const BUCKETS = 10
const MS_PER_S = 1_000

/** A rate as a whole count within a window. */
export interface RateLimit {
  readonly count: number
  readonly windowMs: number
}

/** Writes a rate as a whole count in the shortest window of a second or more. */
export function toRateLimit(ratePerS: number): RateLimit {
  const count = Math.ceil(ratePerS)
  return { count, windowMs: (count * MS_PER_S) / ratePerS }
}

/** Counts events within a sliding window; never fewer than truly happened. */
export interface RateWindow {
  add(nowMs: number): void
  count(nowMs: number): number
  /** Milliseconds until the oldest counted events leave the window. */
  nextFreeMs(nowMs: number): number
}

interface Bucket {
  index: number
  count: number
}

/** Creates an empty window that forgets in steps of a tenth of its length. */
export function createRateWindow(windowMs: number): RateWindow {
  const stepMs = windowMs / BUCKETS
  const buckets: Bucket[] = []

  function forget(nowMs: number): number {
    const current = Math.floor(nowMs / stepMs)
    while (buckets[0] && buckets[0].index < current - BUCKETS) buckets.shift()
    return current
  }

  return {
    add(nowMs) {
      const index = forget(nowMs)
      const last = buckets.at(-1)
      if (last?.index === index) last.count += 1
      else buckets.push({ index, count: 1 })
    },
    count(nowMs) {
      forget(nowMs)
      let total = 0
      for (const bucket of buckets) total += bucket.count
      return total
    },
    nextFreeMs(nowMs) {
      forget(nowMs)
      const [oldest] = buckets
      if (!oldest) return 0
      return (oldest.index + BUCKETS + 1) * stepMs - nowMs
    },
  }
}
