/** Token bucket for weight loads, refilled at the rate of the weight store. */
export interface LoadBudget {
  readonly available: number
  readonly atMs: number
}

/**
 * Creates an empty budget, because the previous lease holder may have spent
 * its whole budget just before.
 */
export function createLoadBudget(nowMs: number): LoadBudget {
  return { available: 0, atMs: nowMs }
}

/** Refills a budget for the time passed, up to the loads of one minute. */
export function refillBudget(
  budget: LoadBudget,
  loadsPerMinute: number,
  nowMs: number,
): LoadBudget {
  const earned = ((nowMs - budget.atMs) / 60_000) * loadsPerMinute
  const available = Math.min(loadsPerMinute, budget.available + earned)
  return { available, atMs: nowMs }
}
