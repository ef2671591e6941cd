import { randomUUID } from 'node:crypto'
import {
  applyLeaseRecord,
  createLeaseTable,
  findHeldLease,
  type HeldLease,
  LEASE_STREAM,
  type LeaseRequest,
} from '@auburnbay/core'
import type { LogClient } from '../logService/logClient.js'

/** Acquires and renews one lease through the log service. */
export interface LeaseHolder {
  /** Acquires or renews the lease when due; undefined while it is not held. */
  acquireOrRenew(): Promise<HeldLease | undefined>
  /** Reads the log again; undefined unless the lease is still held. */
  confirm(): Promise<HeldLease | undefined>
}

/** Options for {@link createLeaseHolder}. */
export interface LeaseHolderOptions {
  readonly log: LogClient
  readonly name: string
  /** Identity of this holder: router and incarnation. */
  readonly holder: string
  readonly ttlMs: number
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Creates the holder of the lease `name`. */
export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
  const { log, name, holder, ttlMs, now } = options
  let table = createLeaseTable()
  let logId: string | undefined
  let lastRequest: LeaseRequest | undefined

  async function readLog(): Promise<boolean> {
    const page = await log.read(LEASE_STREAM, table.nextOffset)
    if (page.isErr()) return false
    const isReplaced = logId !== undefined && logId !== page.value.logId
    const isTruncated = page.value.nextOffset < table.nextOffset
    logId = page.value.logId
    if (isReplaced || isTruncated) {
      // Fencing tokens of different logs are not comparable.
      table = createLeaseTable()
      lastRequest = undefined
      return false
    }
    for (const record of page.value.records)
      table = applyLeaseRecord(table, record)
    return table.nextOffset >= page.value.nextOffset
  }

  function findValidLease(): HeldLease | undefined {
    const lease = lastRequest ? findHeldLease(table, lastRequest) : undefined
    return lease && now() < lease.validUntilMs ? lease : undefined
  }

  async function requestLease(): Promise<void> {
    const requestId = randomUUID()
    const request = { name, requestId, ttlMs, sentAtMs: now() }
    const record = { type: 'lease', name, holder, ttlMs, requestId }
    const appended = await log.append(LEASE_STREAM, [record])
    if (appended.isErr() && !appended.error.mayHaveTakenEffect) return
    lastRequest = request
  }

  function isHeldByOther(): boolean {
    const lease = table.leases.get(name)
    return (
      lease !== undefined &&
      lease.holder !== holder &&
      lease.expiresAtMs > options.epochNow()
    )
  }

  async function confirm(): Promise<HeldLease | undefined> {
    return (await readLog()) ? findValidLease() : undefined
  }

  return {
    confirm,
    async acquireOrRenew() {
      const current = await confirm()
      const remainingMs = current ? current.validUntilMs - now() : 0
      if (remainingMs > ttlMs / 2 || isHeldByOther()) return current
      await requestLease()
      return confirm()
    },
  }
}
