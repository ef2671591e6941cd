/** Loads of weights that may start now; refilled at the store's rate. */
export interface LoadBudget {
  readonly available: number
  readonly atMs: number
}

/** Returns an empty budget: the holder before may have just spent its own. */
export function createLoadBudget(nowMs: number): LoadBudget {
  return { available: 0, atMs: nowMs }
}

/** Refills a budget, to at most one minute's loads. */
export function refillBudget(
  budget: LoadBudget,
  loadsPerMinute: number,
  nowMs: number,
): LoadBudget {
  const earned = ((nowMs - budget.atMs) / 60_000) * loadsPerMinute
  const available = Math.min(loadsPerMinute, budget.available + earned)
  return { available, atMs: nowMs }
}
