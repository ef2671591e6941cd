import {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from './createRetryBudget.js'

/** Returns a lookup of retry budgets by service; each is created on first use. */
export function createRetryBudgets(
  options: RetryBudgetOptions,
): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>()
  return (service) => {
    const budget = budgets.get(service) ?? createRetryBudget(options)
    budgets.set(service, budget)
    return budget
  }
}
