import type { LeaseTable } from './leaseTable.js'

/** Part of a lease's time that its holder leaves unused, for clock drift. */
const MARGIN = 0.2

/** A lease as its holder may use it. */
export interface HeldLease {
  readonly token: number
  /** Last use, in milliseconds of the holder's monotonic clock. */
  readonly validUntilMs: number
}

/** A record that the holder has sent. */
export interface LeaseRequest {
  readonly name: string
  readonly requestId: string
  readonly ttlMs: number
  /** When it was sent, in milliseconds of the holder's monotonic clock. */
  readonly sentAtMs: number
}

/** Returns the lease that a sent record brought; time counts from the sending. */
export function findHeldLease(
  table: LeaseTable,
  sent: LeaseRequest,
): HeldLease | undefined {
  const lease = table.leases.get(sent.name)
  if (lease?.requestId !== sent.requestId) return undefined
  const validUntilMs = sent.sentAtMs + sent.ttlMs * (1 - MARGIN)
  return { token: lease.token, validUntilMs }
}
