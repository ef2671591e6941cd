/** Bounds on the retries that all routers send to a service. */
export interface RetryBounds {
  /** Retries per request. */
  readonly ratio: number
  /** Retries in a window on top of the ratio. */
  readonly allowance: number
  /** Length of the window, in seconds. */
  readonly windowS: number
}

/** Options for {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly bounds: () => RetryBounds
  /** Returns the number of routers that share the allowance; undefined while it is unknown. */
  readonly routerCount: () => number | undefined
  /** Start of this router on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number
}

/** Use of a retry budget by one router. */
export interface RetryUsage {
  /** Retries in the current window. */
  readonly spent: number
  /** Retries that this router may send in the window. */
  readonly limit: number
  /** Routers that share the allowance; undefined while their number is unknown. */
  readonly routers: number | undefined
}

/** Keeps the retries to one service within the fleet's bound. */
export interface RetryBudget {
  recordFirstAttempt(nowMs: number): void
  /** Consumes one retry; returns false if this router's share is used up. */
  tryAcquire(nowMs: number): boolean
  usage(nowMs: number): RetryUsage
}

/** Fraction of the bound that routers use; the rest covers one router more than counted. */
const USED_FRACTION = 0.7
const MS_PER_S = 1_000

/** Counts events in buckets of one second. */
function createBuckets() {
  const counts = new Map<number, number>()
  return {
    add(second: number): void {
      counts.set(second, (counts.get(second) ?? 0) + 1)
    },
    /** Sums the last `seconds` buckets and removes older ones. */
    sum(second: number, seconds: number): number {
      let total = 0
      for (const [key, count] of counts) {
        if (key <= second - seconds) counts.delete(key)
        else total += count
      }
      return total
    },
  }
}

/**
 * Creates a retry budget. Each router keeps to its share, so that the bound
 * holds although routers share no state but their number.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const requests = createBuckets()
  const retries = createBuckets()
  const secondOf = (nowMs: number) => Math.floor(nowMs / MS_PER_S)

  /** Returns this router's share of the allowance. */
  function allowanceShare(nowMs: number, routers: number | undefined): number {
    const { allowance, windowS } = options.bounds()
    // The run before a restart may have used the share within the same window.
    const isStarting = nowMs - options.startedAtMs < windowS * MS_PER_S
    return isStarting || routers === undefined ? 0 : allowance / routers
  }

  function usage(nowMs: number): RetryUsage {
    const { ratio, windowS } = options.bounds()
    const second = secondOf(nowMs)
    const routers = options.routerCount()
    const earned = ratio * requests.sum(second, windowS)
    const share = allowanceShare(nowMs, routers)
    const limit = USED_FRACTION * (earned + share)
    // A window may begin within a second, so one more bucket is summed.
    return { spent: retries.sum(second, windowS + 1), limit, routers }
  }

  return {
    recordFirstAttempt(nowMs) {
      requests.add(secondOf(nowMs))
    },
    tryAcquire(nowMs) {
      const { spent, limit } = usage(nowMs)
      if (spent + 1 > limit) return false
      retries.add(secondOf(nowMs))
      return true
    },
    usage,
  }
}
