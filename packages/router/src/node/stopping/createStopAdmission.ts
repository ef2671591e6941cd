import type { Route } from '../configuration/route.js'
import { createRouteDurations } from './createRouteDurations.js'

/** Decides which requests a router takes while it stops. */
export interface StopAdmission {
  readonly isStopping: boolean
  /** From now on, refuses requests that would hardly end by a time on the monotonic clock, in milliseconds. */
  begin(endsAtMs: number): void
  /** Refuses all requests from now on. */
  refuseAll(): void
  /**
   * Whether a request is taken.
   * @param limitMs Milliseconds after which it has ended in any case.
   */
  takes(route: Route, limitMs: number): boolean
  /** Records how long a request took, from which others of its route are judged. */
  recordEnd(route: string, ms: number): void
}

/**
 * Creates the admission of a router that does not stop yet.
 * @param now Monotonic clock, in milliseconds.
 */
export function createStopAdmission(now: () => number): StopAdmission {
  const durations = createRouteDurations()
  let endsAtMs = Infinity
  let refusesAll = false
  return {
    get isStopping() {
      return endsAtMs < Infinity
    },
    begin(atMs) {
      endsAtMs = atMs
    },
    refuseAll() {
      refusesAll = true
    },
    takes(route, limitMs) {
      if (refusesAll) return false
      const likelyMs =
        durations.mostWithinMs(route.name) ?? route.targetLatencyMs
      return now() + Math.min(limitMs, likelyMs) <= endsAtMs
    },
    recordEnd(route, ms) {
      durations.record(route, ms)
    },
  }
}
