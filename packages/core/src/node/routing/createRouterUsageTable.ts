import {
  LOAD_MARGIN_DEVIATIONS,
  LOAD_MARGIN_REQUESTS,
  REPORT_AT_DECREASE,
} from './constants.js'
import { createCompletionRate } from './createCompletionRate.js'

/** Slots of a group that one router holds, by target. */
export interface RouterUsage {
  readonly incarnation: string
  readonly sequence: number
  /** Milliseconds of the monotonic clock at which the counts were reported. */
  readonly atMs: number
  readonly inFlight: number[]
  readonly credits: number[]
}

/** Usage of all routers; totals are updated on writes, not computed on reads. */
export interface RouterUsageTable {
  get(router: string): RouterUsage | undefined
  routers(): string[]
  /**
   * Replaces a router's usage; `finished` requests ended since the previous
   * report.
   */
  replace(router: string, usage: RouterUsage, finished: number): void
  /** Counts one more request in flight from a router. */
  addInFlight(router: string, index: number): void
  /** Counts credits that are granted to a router in advance. */
  grantCredits(router: string, index: number, credits: number): void
  remove(router: string, nowMs: number): void
  /** Requests in flight plus unused credits of all routers on a target. */
  heldSlots(index: number): number
  /** Unused credits of all routers. */
  readonly outstandingCredits: number
  /**
   * Returns a low estimate of the requests in flight on the included targets.
   * It assumes that no request started since the last reports and that more
   * requests ended than expected, up to the number that routers leave
   * unreported.
   */
  estimateMinLoad(includes: (index: number) => boolean, nowMs: number): number
}

/** Creates an empty table for `size` targets. */
export function createRouterUsageTable(size: number): RouterUsageTable {
  const usages = new Map<string, RouterUsage>()
  const inFlightTotals = new Float64Array(size)
  const creditTotals = new Float64Array(size)
  // Requests expected to be still in flight.
  const remaining = new Float64Array(size)
  const completionRate = createCompletionRate()
  let outstandingCredits = 0
  let decayedAtMs: number | undefined

  function decay(nowMs: number): void {
    const elapsedMs = nowMs - (decayedAtMs ?? nowMs)
    const survival = Math.exp(-completionRate.perMs * elapsedMs)
    for (let index = 0; index < size; index += 1)
      remaining[index] = (remaining[index] ?? 0) * survival
    decayedAtMs = nowMs
  }

  function add(usage: RouterUsage, sign: number, survival: number): void {
    for (let index = 0; index < size; index += 1) {
      const inFlight = sign * (usage.inFlight[index] ?? 0)
      const credits = sign * (usage.credits[index] ?? 0)
      inFlightTotals[index] = (inFlightTotals[index] ?? 0) + inFlight
      remaining[index] = Math.max(
        0,
        (remaining[index] ?? 0) + inFlight * survival,
      )
      creditTotals[index] = (creditTotals[index] ?? 0) + credits
      outstandingCredits += credits
    }
  }

  function remove(router: string, nowMs: number): void {
    const usage = usages.get(router)
    if (!usage) return
    decay(nowMs)
    const elapsedMs = nowMs - usage.atMs
    add(usage, -1, Math.exp(-completionRate.perMs * elapsedMs))
    usages.delete(router)
  }

  function recordCompletions(
    previous: RouterUsage,
    finished: number,
    nowMs: number,
  ): void {
    let inFlight = 0
    for (const count of previous.inFlight) inFlight += count
    completionRate.record(finished, inFlight, nowMs - previous.atMs)
  }

  return {
    remove,
    routers: () => [...usages.keys()],
    get: (router) => usages.get(router),
    replace(router, usage, finished) {
      const previous = usages.get(router)
      remove(router, usage.atMs)
      decay(usage.atMs)
      if (previous?.incarnation === usage.incarnation)
        recordCompletions(previous, finished, usage.atMs)
      add(usage, 1, 1)
      usages.set(router, usage)
    },
    addInFlight(router, index) {
      const usage = usages.get(router)
      if (!usage) return
      usage.inFlight[index] = (usage.inFlight[index] ?? 0) + 1
      inFlightTotals[index] = (inFlightTotals[index] ?? 0) + 1
      remaining[index] = (remaining[index] ?? 0) + 1
    },
    grantCredits(router, index, credits) {
      const usage = usages.get(router)
      if (!usage) return
      usage.credits[index] = (usage.credits[index] ?? 0) + credits
      creditTotals[index] = (creditTotals[index] ?? 0) + credits
      outstandingCredits += credits
    },
    heldSlots: (index) =>
      (inFlightTotals[index] ?? 0) + (creditTotals[index] ?? 0),
    get outstandingCredits() {
      return outstandingCredits
    },
    estimateMinLoad(includes, nowMs) {
      decay(nowMs)
      let total = 0
      let expected = 0
      for (let index = 0; index < size; index += 1) {
        if (!includes(index)) continue
        const inFlight = inFlightTotals[index] ?? 0
        total += inFlight
        expected += Math.max(0, inFlight - (remaining[index] ?? 0))
      }
      const ended = expected + LOAD_MARGIN_DEVIATIONS * Math.sqrt(expected)
      // A router reports a larger decrease at once.
      const maxUnreported = usages.size * (REPORT_AT_DECREASE - 1)
      const unreported = Math.min(ended, maxUnreported)
      return Math.max(0, total - unreported - LOAD_MARGIN_REQUESTS)
    },
  }
}
