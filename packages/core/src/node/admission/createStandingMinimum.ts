/** Length of one part of the window, in milliseconds. */
const PART_MS = 100
/** Part of the window that samples must span, so that a single one is not taken for all of it. */
const MIN_SPAN = 0.4

/** Lowest value of a window of time. */
export interface StandingMinimum {
  add(value: number, nowMs: number): void
  /** Returns the lowest value of the window; 0 while too little of it was seen. */
  lowest(nowMs: number): number
}

/**
 * Creates a minimum over a window. A queue that was short at some time within it
 * is a burst, which passes; one that never was is standing.
 */
export function createStandingMinimum(windowMs: number): StandingMinimum {
  const parts = new Map<number, number>()
  const partAt = (nowMs: number): number => Math.floor(nowMs / PART_MS)
  const isOld = (part: number, nowMs: number): boolean =>
    part <= partAt(nowMs) - windowMs / PART_MS

  return {
    add(value, nowMs) {
      const part = partAt(nowMs)
      parts.set(part, Math.min(value, parts.get(part) ?? Infinity))
      for (const index of parts.keys())
        if (isOld(index, nowMs)) parts.delete(index)
    },
    lowest(nowMs) {
      let lowest = Infinity
      let first = Infinity
      for (const [part, value] of parts) {
        if (isOld(part, nowMs)) continue
        lowest = Math.min(lowest, value)
        first = Math.min(first, part)
      }
      const spanMs = (partAt(nowMs) - first) * PART_MS
      return spanMs >= MIN_SPAN * windowMs ? lowest : 0
    },
  }
}
