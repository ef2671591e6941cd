import { Verdict } from '../verdict/verdict.js'

/** What decides whether a request may be sent once more. */
export interface RetryQuery {
  readonly verdict: Verdict
  readonly idempotent: boolean
  /** Whether the caller has gone away. */
  readonly abandoned: boolean
}

/** Returns whether a repeat cannot make a non-idempotent request run twice. */
export function mayRetry(query: RetryQuery): boolean {
  if (query.abandoned) return false
  if (query.verdict === Verdict.NotRun) return true
  return query.verdict === Verdict.MayHaveRun && query.idempotent
}
