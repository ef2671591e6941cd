import {
  createRetryBudget,
  FailureCode,
  mayRetry,
  type RequestFailure,
  type RetryBudget,
  type RetryBudgetOptions,
} from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { Metrics } from '../metrics/metrics.js'

/** Decides which failed requests are sent once more. */
export interface Retries {
  /** Counts a request that is sent for the first time. */
  recordFirstAttempt(request: RoutedRequest): void
  /** Returns whether to retry; takes the retry out of the budget. */
  tryAcquire(request: RoutedRequest, failure: RequestFailure): boolean
}

const FAILURES_OF_A_TARGET: ReadonlySet<FailureCode> = new Set([
  FailureCode.TargetUnreachable,
  FailureCode.TargetFailed,
  FailureCode.TargetTimeout,
])

/** Creates retries with a budget for each service. */
export function createRetries(
  settings: RetryBudgetOptions,
  metrics: Metrics,
  epochNow: () => number,
): Retries {
  const budgets = new Map<string, RetryBudget>()

  function budgetOf(service: string): RetryBudget {
    const known = budgets.get(service)
    if (known) return known
    const budget = createRetryBudget(settings)
    budgets.set(service, budget)
    return budget
  }

  return {
    recordFirstAttempt: ({ service }) => {
      budgetOf(service).recordFirstAttempt()
    },
    tryAcquire(request, failure) {
      const { service, idempotent, deadlineAtMs = Infinity } = request
      if (!FAILURES_OF_A_TARGET.has(failure.code)) return false
      const abandoned = request.signal.aborted || epochNow() >= deadlineAtMs
      const { verdict } = failure
      if (!mayRetry({ verdict, idempotent, abandoned })) return false
      const taken = budgetOf(service).consumeRetry()
      metrics.count(taken ? 'retries' : 'retries.refused', 1, { service })
      return taken
    },
  }
}
