import type { Figure } from '../figure.js'
import type { Deployment } from './deployments.js'
import { MAX_EJECTED_SHARE, RETRY_RATIO, runRetries } from './runRetries.js'

const REQUESTS = 20_000

/** Measures retries and ejection while half of a service is down. */
export function measureRetries({ name, targets }: Deployment): Figure[] {
  const service = { targets, requests: REQUESTS }
  const run = runRetries({ ...service, budgeted: true, ejecting: true })
  const budgetOnly = runRetries({
    ...service,
    budgeted: true,
    ejecting: false,
  })
  const unlimited = runRetries({
    ...service,
    budgeted: false,
    ejecting: false,
  })
  const measure = `limits.${name}`
  return [
    {
      measure: `${measure}.retry-ratio-half-down`,
      value: run.retries / run.firstAttempts,
      unit: 'retries a first try',
      bound: RETRY_RATIO,
      baseline: unlimited.retries / unlimited.firstAttempts,
    },
    {
      measure: `${measure}.retry-ratio-half-down-without-ejection`,
      value: budgetOnly.retries / budgetOnly.firstAttempts,
      unit: 'retries a first try',
      bound: RETRY_RATIO,
      baseline: unlimited.retries / unlimited.firstAttempts,
    },
    {
      measure: `${measure}.unsafe-retries`,
      value: run.unsafeRetries + budgetOnly.unsafeRetries,
      unit: 'repeats of what may have run',
      bound: 0,
      baseline: unlimited.unsafeRetries,
    },
    {
      measure: `${measure}.answered-half-down`,
      value: run.succeeded / run.firstAttempts,
      unit: 'share of requests',
      baseline: unlimited.succeeded / unlimited.firstAttempts,
    },
    {
      measure: `${measure}.tries-wasted-half-down`,
      value: run.wastedAttempts / run.firstAttempts,
      unit: 'tries at targets that are down, for each request',
      baseline: unlimited.wastedAttempts / unlimited.firstAttempts,
    },
    {
      measure: `${measure}.ejected-share`,
      value: run.ejectedShare,
      unit: 'share of the targets',
      bound: MAX_EJECTED_SHARE,
    },
  ]
}
