/** How many retries a service gets. */
export interface RetryBudgetOptions {
  /** Retries for each first try. */
  readonly ratio: number
  /** Retries that unused first tries save up at most. */
  readonly burst: number
  /** Retries allowed before first tries have earned any. */
  readonly reserve: number
}

/** Keeps retries within a ratio of first tries. */
export interface RetryBudget {
  recordFirstAttempt(): void
  /** Takes one retry out; false when the budget is spent. */
  consumeRetry(): boolean
}

/**
 * Creates a token bucket that first tries fill. Retries from the reserve are
 * paid back, so retries never exceed the larger of reserve and ratio x first
 * tries.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, burst, reserve } = options
  let tokens = 0
  let reserveLeft = reserve
  return {
    recordFirstAttempt() {
      tokens = Math.min(burst, tokens + ratio)
    },
    consumeRetry() {
      if (tokens >= 1) {
        tokens -= 1
        // A retry that was earned leaves that much less to the reserve.
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
