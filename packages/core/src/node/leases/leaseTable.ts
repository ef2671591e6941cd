import { leaseRecordSchema } from './leaseRecord.js'

/** Current lease of a name, by the order and the clock of the log. */
export interface Lease {
  readonly holder: string
  /** Fencing token: offset of the record that granted the lease. */
  readonly token: number
  /** Request that granted or last renewed the lease. */
  readonly requestId: string
  /** Expiry by the log's clock, in milliseconds since the epoch. */
  readonly expiresAtMs: number
}

/** Leases after a prefix of the leases stream. */
export interface LeaseTable {
  readonly leases: ReadonlyMap<string, Lease>
  /** Latest record time so far, in milliseconds since the epoch. */
  readonly logClockMs: number
  readonly nextOffset: number
}

/** Record with the offset and time that the log assigned. */
export interface TimestampedRecord {
  readonly offset: number
  /** When the log appended it, in milliseconds since the epoch. */
  readonly atMs: number
  readonly value: unknown
}

/** Creates an empty table. */
export function createLeaseTable(): LeaseTable {
  return { leases: new Map(), logClockMs: 0, nextOffset: 0 }
}

/**
 * Applies one record. A lease is granted if no unexpired lease exists by the
 * log's clock; further records of the holder renew it with the same token.
 */
export function applyLeaseRecord(
  table: LeaseTable,
  record: TimestampedRecord,
): LeaseTable {
  const logClockMs = Math.max(table.logClockMs, record.atMs)
  const next = { ...table, logClockMs, nextOffset: record.offset + 1 }
  const parsed = leaseRecordSchema.safeParse(record.value)
  if (!parsed.success) return next
  const { name, holder, ttlMs, requestId } = parsed.data
  const current = table.leases.get(name)
  const isActive = current !== undefined && logClockMs < current.expiresAtMs
  if (isActive && current.holder !== holder) return next
  const token = isActive ? current.token : record.offset
  const expiresAtMs = logClockMs + ttlMs
  const lease = { holder, token, requestId, expiresAtMs }
  return { ...next, leases: new Map(table.leases).set(name, lease) }
}
