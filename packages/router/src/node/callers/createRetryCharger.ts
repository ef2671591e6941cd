import type { RetryBudget } from '../limits/createRetryBudget.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { Call } from './call.js'

/** Options for {@link createRetryCharger}. */
export interface RetryChargerOptions {
  readonly retryBudgetFor: (service: string) => RetryBudget
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Charges the retries of calls to the budgets of their services. */
export interface RetryCharger {
  /**
   * Charges a retry; returns false if the budget is used up.
   * @param sends Sends of the call so far.
   * @param cause Why the last send has to be repeated.
   */
  tryCharge(call: Call, sends: number, cause: string): boolean
}

/** Creates a retry charger. */
export function createRetryCharger(options: RetryChargerOptions): RetryCharger {
  const { retryBudgetFor, log, metrics, now } = options
  return {
    tryCharge({ request, service }, sends, cause) {
      const retryBudget = retryBudgetFor(service)
      const isCharged = retryBudget.tryAcquire(now())
      if (isCharged) metrics.recordResend(service, cause)
      const { spent, limit, routers } = retryBudget.usage(now())
      log.write(isCharged ? LogEvent.RequestRetried : LogEvent.RetryRefused, {
        request: request.attemptId,
        service,
        send: sends,
        cause,
        spent,
        limit: Math.round(limit),
        routers,
      })
      return isCharged
    },
  }
}
