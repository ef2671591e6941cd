/** Notices targets that owe answers and send nothing at all. */
export interface SilenceWatch {
  sent(targetId: string, nowMs: number): void
  /** Bytes of any answer came from the target. */
  heard(targetId: string, nowMs: number): void
  /** A request to the target ended, with or without an answer. */
  ended(targetId: string): void
  isSilent(targetId: string, nowMs: number): boolean
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
export function createSilenceWatch(silentMs: number): SilenceWatch {
  const owed = new Map<string, Owed>()
  return {
    sent(targetId, nowMs) {
      const target = owed.get(targetId)
      if (target) target.requests += 1
      else owed.set(targetId, { requests: 1, sinceMs: nowMs })
    },
    heard(targetId, nowMs) {
      const target = owed.get(targetId)
      if (target) target.sinceMs = nowMs
    },
    ended(targetId) {
      const target = owed.get(targetId)
      if (!target) return
      target.requests -= 1
      if (target.requests === 0) owed.delete(targetId)
    },
    isSilent(targetId, nowMs) {
      const target = owed.get(targetId)
      return target !== undefined && nowMs - target.sinceMs > silentMs
    },
  }
}
