import type { LeaseTable } from './leaseTable.js'

/** Fraction of the lease time that the holder leaves unused, for clock drift. */
const CLOCK_DRIFT_MARGIN = 0.2

/** Lease as seen by its holder. */
export interface HeldLease {
  readonly token: number
  /** End of use, in milliseconds of the holder's monotonic clock. */
  readonly validUntilMs: number
}

/** Lease record that this router has sent to the log. */
export interface LeaseRequest {
  readonly name: string
  readonly requestId: string
  readonly ttlMs: number
  /** Send time, in milliseconds of the holder's monotonic clock. */
  readonly sentAtMs: number
}

/**
 * Returns the lease that a sent record granted or renewed, or undefined if it
 * did not. Validity counts from sending, which is before the log granted it.
 */
export function findHeldLease(
  table: LeaseTable,
  sent: LeaseRequest,
): HeldLease | undefined {
  const lease = table.leases.get(sent.name)
  if (lease?.requestId !== sent.requestId) return undefined
  const validUntilMs = sent.sentAtMs + sent.ttlMs * (1 - CLOCK_DRIFT_MARGIN)
  return { token: lease.token, validUntilMs }
}
