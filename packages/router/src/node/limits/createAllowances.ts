import {
  createRetryAllowance,
  type RetryAllowance,
  type RetryAllowanceOptions,
} from './createRetryAllowance.js'

/** Returns the allowance of each service, made when it is first asked for. */
export function createAllowances(
  options: RetryAllowanceOptions,
): (service: string) => RetryAllowance {
  const allowances = new Map<string, RetryAllowance>()
  return (service) => {
    const allowance = allowances.get(service) ?? createRetryAllowance(options)
    allowances.set(service, allowance)
    return allowance
  }
}
