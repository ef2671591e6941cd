/** Options for {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly ratio: number
  /** Maximum number of earned retries that accumulate. */
  readonly burst: number
  /** Retries allowed before any are earned. */
  readonly reserve: number
}

/** Limits retries to a ratio of first attempts. */
export interface RetryBudget {
  recordFirstAttempt(): void
  /** Consumes one retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean
}

/**
 * Creates a token bucket that is filled by first attempts. Retries from the
 * reserve are repaid from earned tokens, so retries never exceed the larger of
 * `reserve` and `ratio` x first attempts.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, burst, reserve } = options
  let tokens = 0
  let reserveLeft = reserve
  return {
    recordFirstAttempt() {
      tokens = Math.min(burst, tokens + ratio)
    },
    tryAcquire() {
      if (tokens >= 1) {
        tokens -= 1
        // An earned retry reduces the reserve as well.
        reserveLeft = Math.max(0, reserveLeft - 1)
        return true
      }
      if (reserveLeft < 1) return false
      reserveLeft -= 1
      tokens -= 1
      return true
    },
  }
}
