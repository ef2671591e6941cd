import { leaseRecordSchema } from './leaseRecord.js'

/** A lease as the log's order and clock decide it. */
export interface Lease {
  readonly holder: string
  /** Offset of the record that granted it: the fencing token. */
  readonly token: number
  /** Request that granted or last renewed it. */
  readonly requestId: string
  /** End by the log's clock, in milliseconds since the epoch. */
  readonly expiresAtMs: number
}

/** All leases after some prefix of the stream. */
export interface LeaseTable {
  readonly leases: ReadonlyMap<string, Lease>
  /** Newest time that the log has given a record. */
  readonly logClockMs: number
  readonly nextOffset: number
}

/** A record as the log returns it. */
export interface TimedRecord {
  readonly offset: number
  /** When the log took it, in milliseconds since the epoch. */
  readonly atMs: number
  readonly value: unknown
}

/** Returns the table before any record. */
export function createLeaseTable(): LeaseTable {
  return { leases: new Map(), logClockMs: 0, nextOffset: 0 }
}

/**
 * Applies one record. A lease is granted when none is in force by the log's
 * own clock; the holder's further records extend it under the same token.
 */
export function applyLeaseRecord(
  table: LeaseTable,
  record: TimedRecord,
): LeaseTable {
  const logClockMs = Math.max(table.logClockMs, record.atMs)
  const next = { ...table, logClockMs, nextOffset: record.offset + 1 }
  const parsed = leaseRecordSchema.safeParse(record.value)
  if (!parsed.success) return next
  const { name, holder, ttlMs, requestId } = parsed.data
  const current = table.leases.get(name)
  const inForce = current !== undefined && logClockMs < current.expiresAtMs
  if (inForce && current.holder !== holder) return next
  const token = inForce ? current.token : record.offset
  const expiresAtMs = logClockMs + ttlMs
  const lease = { holder, token, requestId, expiresAtMs }
  return { ...next, leases: new Map(table.leases).set(name, lease) }
}
