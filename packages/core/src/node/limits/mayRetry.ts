import { Verdict } from '../verdict/verdict.js'

/** Outcome of the last attempt of a request. */
export interface RetryQuery {
  readonly verdict: Verdict
  readonly idempotent: boolean
  /** Whether the caller has disconnected. */
  readonly abandoned: boolean
}

/** Returns whether a retry cannot run a non-idempotent request twice. */
export function mayRetry(query: RetryQuery): boolean {
  if (query.abandoned) return false
  if (query.verdict === Verdict.NotRun) return true
  return query.verdict === Verdict.MayHaveRun && query.idempotent
}
