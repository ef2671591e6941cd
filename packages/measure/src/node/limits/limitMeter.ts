import { createRateWindow, toRateLimit } from '@auburnbay/core'

/** What a limit counts, at one router or over the fleet. */
export interface LimitMeter {
  /** Counts an admission. */
  add(nowMs: number): void
  /** Counts the end of a request. */
  end(): void
  used(nowMs: number): number
}

/** A limit on requests in flight or on a rate. */
export interface MeasuredLimit {
  readonly name: string
  readonly limit: number
  /** Milliseconds until the use in a stale digest has surely ended. */
  readonly holdMs: number
  /** Milliseconds for which past admissions count. */
  readonly lookbackMs: number
  createMeter(): LimitMeter
  /** Counts what came, refused requests included, if the limit needs it. */
  createDemand?(): LimitMeter
  /** The fleet's true use; exact, unlike a router's window. */
  createTruth(): LimitMeter
}

function inFlightMeter(): LimitMeter {
  let inFlight = 0
  return {
    add: () => {
      inFlight += 1
    },
    end: () => {
      inFlight -= 1
    },
    used: () => inFlight,
  }
}

function exactWindow(windowMs: number): LimitMeter {
  const admissions: number[] = []
  return {
    add: (nowMs) => {
      admissions.push(nowMs)
    },
    end: () => undefined,
    used(nowMs) {
      while (admissions[0] !== undefined && admissions[0] <= nowMs - windowMs)
        admissions.shift()
      return admissions.length
    },
  }
}

/** Limits requests in flight. */
export function inFlightLimit(limit: number, holdMs: number): MeasuredLimit {
  return {
    name: `in-flight-${limit}`,
    limit,
    holdMs,
    lookbackMs: 0,
    createMeter: inFlightMeter,
    createTruth: inFlightMeter,
  }
}

function windowMeter(windowMs: number): LimitMeter {
  const window = createRateWindow(windowMs)
  return {
    add: (nowMs) => {
      window.add(nowMs)
    },
    end: () => undefined,
    used: (nowMs) => window.count(nowMs),
  }
}

/** Limits admissions a second. */
export function rateLimitOf(ratePerS: number): MeasuredLimit {
  const { count, windowMs } = toRateLimit(ratePerS)
  return {
    name: `rate-${ratePerS}`,
    limit: count,
    holdMs: windowMs,
    lookbackMs: windowMs,
    createMeter: () => windowMeter(windowMs),
    createDemand: () => windowMeter(windowMs),
    createTruth: () => exactWindow(windowMs),
  }
}
