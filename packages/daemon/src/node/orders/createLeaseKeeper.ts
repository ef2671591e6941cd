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

/** Holds one lease while it is wanted. */
export interface LeaseKeeper {
  /** Reads the log and asks for the lease, or renews it, where that is due. */
  keep(): Promise<HeldLease | undefined>
  /** Reads the log once more; undefined unless the lease is still held. */
  confirm(): Promise<HeldLease | undefined>
}

/** What keeping a lease works with. */
export interface LeaseKeeperOptions {
  readonly log: LogClient
  readonly name: string
  /** Router and incarnation. */
  readonly holder: string
  readonly ttlMs: number
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly nowEpochMs: () => number
}

/** Creates the keeper of a lease. */
export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { log, name, holder, ttlMs, now } = options
  let table = createLeaseTable()
  let logId: string | undefined
  let sent: LeaseRequest | undefined

  async function read(): Promise<boolean> {
    const page = await log.read(LEASE_STREAM, table.nextOffset)
    if (page.isErr()) return false
    const isOtherLog = logId !== undefined && logId !== page.value.logId
    const isShorter = page.value.nextOffset < table.nextOffset
    logId = page.value.logId
    if (isOtherLog || isShorter) {
      // Tokens of another log say nothing of the order of holders.
      table = createLeaseTable()
      sent = undefined
      return false
    }
    for (const record of page.value.records)
      table = applyLeaseRecord(table, record)
    return table.nextOffset >= page.value.nextOffset
  }

  function held(): HeldLease | undefined {
    const lease = sent ? findHeldLease(table, sent) : undefined
    return lease && now() < lease.validUntilMs ? lease : undefined
  }

  async function ask(): Promise<void> {
    const requestId = randomUUID()
    const asked = { name, requestId, ttlMs, sentAtMs: now() }
    const record = { type: 'lease', name, holder, ttlMs, requestId }
    const appended = await log.append(LEASE_STREAM, [record])
    if (appended.isErr() && !appended.error.mayHaveTakenEffect) return
    sent = asked
  }

  function isOthers(): boolean {
    const lease = table.leases.get(name)
    return (
      lease !== undefined &&
      lease.holder !== holder &&
      lease.expiresAtMs > options.nowEpochMs()
    )
  }

  async function confirm(): Promise<HeldLease | undefined> {
    return (await read()) ? held() : undefined
  }

  return {
    confirm,
    async keep() {
      const before = await confirm()
      const remainingMs = before ? before.validUntilMs - now() : 0
      if (remainingMs > ttlMs / 2 || isOthers()) return before
      await ask()
      return confirm()
    },
  }
}
