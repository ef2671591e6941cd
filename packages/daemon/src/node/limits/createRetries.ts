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

/** Decides which failed requests are retried. */
export interface Retries {
  /** Adds the first attempt of a request to the retry budget of its service. */
  recordFirstAttempt(request: RoutedRequest): void
  /** Returns whether to retry; charges the retry to the service's budget. */
  tryAcquire(request: RoutedRequest, failure: RequestFailure): boolean
}

const TARGET_FAILURES: ReadonlySet<FailureCode> = new Set([
  FailureCode.TargetUnreachable,
  FailureCode.TargetFailed,
  FailureCode.TargetTimeout,
])

/** Creates retries with one budget per service. */
export function createRetries(
  settings: RetryBudgetOptions,
  metrics: Metrics,
  epochNow: () => number,
): Retries {
  const budgets = new Map<string, RetryBudget>()

  function budgetOf(service: string): RetryBudget {
    const existing = budgets.get(service)
    if (existing) return existing
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
      if (!TARGET_FAILURES.has(failure.code)) return false
      const abandoned = request.signal.aborted || epochNow() >= deadlineAtMs
      const { verdict } = failure
      if (!mayRetry({ verdict, idempotent, abandoned })) return false
      const acquired = budgetOf(service).tryAcquire()
      metrics.count(acquired ? 'retries' : 'retries.refused', 1, { service })
      return acquired
    },
  }
}
