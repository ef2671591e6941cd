/** Detects targets that have requests in flight and send nothing. */
export interface StallDetector {
  recordSent(targetId: string, nowMs: number): void
  /** Records that bytes of any response came from the target. */
  recordActivity(targetId: string, nowMs: number): void
  /** Records the end of a request, with or without a response. */
  recordEnd(targetId: string): void
  isStalled(targetId: string, nowMs: number): boolean
  /** Returns the milliseconds for which all targets with requests in flight have sent nothing; 0 without requests. */
  silentMs(nowMs: number): number
}

interface InFlight {
  requests: number
  /** Time of the last byte, or of the first request in flight if none came. */
  activeAtMs: number
}

/**
 * Creates a stall detector.
 * @param timeoutMs Milliseconds that a target with requests in flight may send nothing.
 */
export function createStallDetector(timeoutMs: number): StallDetector {
  const inFlight = new Map<string, InFlight>()
  return {
    recordSent(targetId, nowMs) {
      const target = inFlight.get(targetId)
      if (target) target.requests += 1
      else inFlight.set(targetId, { requests: 1, activeAtMs: nowMs })
    },
    recordActivity(targetId, nowMs) {
      const target = inFlight.get(targetId)
      if (target) target.activeAtMs = nowMs
    },
    recordEnd(targetId) {
      const target = inFlight.get(targetId)
      if (!target) return
      target.requests -= 1
      if (target.requests === 0) inFlight.delete(targetId)
    },
    isStalled(targetId, nowMs) {
      const target = inFlight.get(targetId)
      return target !== undefined && nowMs - target.activeAtMs > timeoutMs
    },
    silentMs(nowMs) {
      let activeAtMs = -Infinity
      for (const target of inFlight.values())
        activeAtMs = Math.max(activeAtMs, target.activeAtMs)
      return inFlight.size === 0 ? 0 : nowMs - activeAtMs
    },
  }
}
