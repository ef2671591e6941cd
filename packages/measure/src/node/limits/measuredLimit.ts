import { createRateWindow, toRateLimit } from '@auburnbay/core'

/** Counts the use of a limit at one router or over the fleet. */
export interface UsageMeter {
  recordAdmission(nowMs: number): void
  recordEnd(): void
  /** Requests in flight, or admissions within the window of a rate. */
  used(nowMs: number): number
}

/** A limit on requests in flight or on a rate. */
export interface MeasuredLimit {
  readonly name: string
  readonly limit: number
  /** Age in milliseconds above which the usage reported in a digest no longer counts. */
  readonly holdMs: number
  /** Milliseconds for which an admission counts; 0 if it counts until the request ends. */
  readonly lookbackMs: number
  createMeter(): UsageMeter
  /** Counts arrivals, rejected requests included, if the limit is divided by demand. */
  createDemandMeter?(): UsageMeter
  /** Counts the fleet's use exactly; a router's rate window is approximate. */
  createExactMeter(): UsageMeter
}

function createInFlightMeter(): UsageMeter {
  let inFlight = 0
  return {
    recordAdmission: () => {
      inFlight += 1
    },
    recordEnd: () => {
      inFlight -= 1
    },
    used: () => inFlight,
  }
}

function createExactWindowMeter(windowMs: number): UsageMeter {
  const admissions: number[] = []
  return {
    recordAdmission: (nowMs) => {
      admissions.push(nowMs)
    },
    recordEnd: () => undefined,
    used(nowMs) {
      while (admissions[0] !== undefined && admissions[0] <= nowMs - windowMs)
        admissions.shift()
      return admissions.length
    },
  }
}

/** Creates a limit on requests in flight. */
export function createInFlightLimit(
  limit: number,
  holdMs: number,
): MeasuredLimit {
  return {
    name: `in-flight-${limit}`,
    limit,
    holdMs,
    lookbackMs: 0,
    createMeter: createInFlightMeter,
    createExactMeter: createInFlightMeter,
  }
}

function createWindowMeter(windowMs: number): UsageMeter {
  const window = createRateWindow(windowMs)
  return {
    recordAdmission: (nowMs) => {
      window.add(nowMs)
    },
    recordEnd: () => undefined,
    used: (nowMs) => window.count(nowMs),
  }
}

/** Creates a limit on admissions a second. */
export function createRateLimit(ratePerS: number): MeasuredLimit {
  const { count, windowMs } = toRateLimit(ratePerS)
  return {
    name: `rate-${ratePerS}`,
    limit: count,
    holdMs: windowMs,
    lookbackMs: windowMs,
    createMeter: () => createWindowMeter(windowMs),
    createDemandMeter: () => createWindowMeter(windowMs),
    createExactMeter: () => createExactWindowMeter(windowMs),
  }
}
