import { setTimeout as sleep } from 'node:timers/promises'
import {
  type ClaimRecord,
  ClaimRecordKind,
  CLAIMS_STREAM,
} from '@auburnbay/core'
import type { LogClient } from '../logService/logClient.js'
import { MAX_BATCH_RECORDS, MAX_WAITING_RECORDS } from './constants.js'

/** Appends claim records, many at once. */
export interface RecordBatcher {
  add(record: ClaimRecord): void
  /** Takes a claim back; false when it may already be on the log. */
  withdraw(claimId: string): boolean
  readonly counts: { readonly appends: number; readonly records: number }
  /** Appends what waits, within `ms` milliseconds, and ends. */
  stop(ms: number): Promise<void>
}

/** How records are appended. */
export interface RecordBatcherOptions {
  readonly log: LogClient
  /** Milliseconds between two appends. */
  readonly batchMs: number
  /** Told of claims that are certainly not on the log. */
  readonly onRefused: (claimId: string, reason: string) => void
}

/** Creates a batcher with one append under way at a time. */
export function createRecordBatcher(
  options: RecordBatcherOptions,
): RecordBatcher {
  const { log, batchMs, onRefused } = options
  const counts = { appends: 0, records: 0 }
  let waiting: ClaimRecord[] = []
  let running: Promise<void> | undefined
  let stopped = false

  function putBack(batch: readonly ClaimRecord[]): void {
    const lasting = batch.filter(({ kind }) => kind !== ClaimRecordKind.Claim)
    waiting = [...lasting, ...waiting].slice(-MAX_WAITING_RECORDS)
  }

  async function appendBatch(): Promise<void> {
    const batch = waiting.slice(0, MAX_BATCH_RECORDS)
    waiting = waiting.slice(MAX_BATCH_RECORDS)
    counts.appends += 1
    counts.records += batch.length
    const result = await log.append(CLAIMS_STREAM, batch)
    if (result.isOk()) return
    // A release or an outcome that is recorded twice does no harm.
    putBack(batch)
    if (result.error.mayHaveTakenEffect) return
    for (const { kind, claimId } of batch)
      if (kind === ClaimRecordKind.Claim)
        onRefused(claimId, result.error.message)
  }

  async function run(): Promise<void> {
    while (waiting.length > 0 && !stopped) {
      await appendBatch()
      await sleep(batchMs)
    }
  }

  function start(): void {
    if (stopped) return
    running ??= run().finally(() => {
      running = undefined
      if (waiting.length > 0) start()
    })
  }

  return {
    counts,
    add: (record) => {
      waiting.push(record)
      start()
    },
    withdraw: (claimId) => {
      const kept = waiting.filter((record) => record.claimId !== claimId)
      const withdrawn = kept.length < waiting.length
      waiting = kept
      return withdrawn
    },
    stop: async (ms) => {
      const limit = sleep(ms, undefined, { ref: false })
      while (running !== undefined) {
        const inTime = await Promise.race([
          running.then(() => true),
          limit.then(() => false),
        ])
        if (!inTime) break
      }
      stopped = true
    },
  }
}
