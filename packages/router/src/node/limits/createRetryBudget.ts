/** Bounds on the second sends of all routers to a service. */
export interface RetryBounds {
  /** Second sends for each request. */
  readonly ratio: number
  /** Second sends in a window beyond the ratio. */
  readonly allowance: number
  /** Length of the window, in seconds. */
  readonly windowS: number
}

/** What an allowance is worked out from. */
export interface RetryBudgetOptions {
  readonly bounds: () => RetryBounds
  /** Routers that share the allowance. */
  readonly routerCount: () => number
}

/** Keeps the second sends of one service within the fleet's bound. */
export interface RetryBudget {
  recordRequest(nowMs: number): void
  /** Takes one second send; false when this router's part is spent. */
  tryAcquire(nowMs: number): boolean
}

/** Part of the bound that routers use; the rest covers a router too many. */
const USED_PART = 0.7
const MS_PER_S = 1_000

/** Counts in buckets of a second. */
function createBuckets() {
  const counts = new Map<number, number>()
  return {
    add(second: number): void {
      counts.set(second, (counts.get(second) ?? 0) + 1)
    },
    /** Sums the last `seconds` buckets and forgets older ones. */
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

/** Creates an allowance; nothing is shared but the number of routers. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const requests = createBuckets()
  const sends = createBuckets()
  const secondOf = (nowMs: number) => Math.floor(nowMs / MS_PER_S)

  return {
    recordRequest(nowMs) {
      requests.add(secondOf(nowMs))
    },
    tryAcquire(nowMs) {
      const { ratio, allowance, windowS } = options.bounds()
      const second = secondOf(nowMs)
      const earned = ratio * requests.sum(second, windowS)
      const own = allowance / Math.max(1, options.routerCount())
      // One bucket more than the window covers every span of its length.
      const spent = sends.sum(second, windowS + 1)
      if (spent + 1 > USED_PART * (earned + own)) return false
      sends.add(second)
      return true
    },
  }
}
