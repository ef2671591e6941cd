/** Notices targets that owe answers and send nothing at all. */
export interface StallDetector {
  recordSent(targetId: string, nowMs: number): void
  /** Bytes of any answer came from the target. */
  recordActivity(targetId: string, nowMs: number): void
  /** A request to the target ended, with or without an answer. */
  recordEnd(targetId: string): void
  isStalled(targetId: string, nowMs: number): boolean
}

interface Owed {
  requests: number
  /** Since when answers are owed and nothing came. */
  sinceMs: number
}

/**
 * Creates a watch.
 * @param silentMs Milliseconds that a target may owe answers and send nothing.
 */
export function createStallDetector(silentMs: number): StallDetector {
  const owed = new Map<string, Owed>()
  return {
    recordSent(targetId, nowMs) {
      const target = owed.get(targetId)
      if (target) target.requests += 1
      else owed.set(targetId, { requests: 1, sinceMs: nowMs })
    },
    recordActivity(targetId, nowMs) {
      const target = owed.get(targetId)
      if (target) target.sinceMs = nowMs
    },
    recordEnd(targetId) {
      const target = owed.get(targetId)
      if (!target) return
      target.requests -= 1
      if (target.requests === 0) owed.delete(targetId)
    },
    isStalled(targetId, nowMs) {
      const target = owed.get(targetId)
      return target !== undefined && nowMs - target.sinceMs > silentMs
    },
  }
}
