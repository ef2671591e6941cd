import {
  createRetryBudget,
  type RetryBudget,
  type RetryBudgetOptions,
} from './createRetryBudget.js'

/** Returns the allowance of each service, made when it is first asked for. */
export function createRetryBudgets(
  options: RetryBudgetOptions,
): (service: string) => RetryBudget {
  const allowances = new Map<string, RetryBudget>()
  return (service) => {
    const allowance = allowances.get(service) ?? createRetryBudget(options)
    allowances.set(service, allowance)
    return allowance
  }
}
