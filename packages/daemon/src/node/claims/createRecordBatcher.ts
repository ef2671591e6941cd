import { setTimeout as sleep } from 'node:timers/promises'
import {
  type ClaimRecord,
  ClaimRecordKind,
  CLAIMS_STREAM,
} from '@auburnbay/core'
import type { LogClient } from '../logService/logClient.js'
import { MAX_BATCH_RECORDS, MAX_QUEUED_RECORDS } from './constants.js'

/** Appends claim records to the log in batches. */
export interface RecordBatcher {
  add(record: ClaimRecord): void
  /** Removes a queued claim; false when it may already be on the log. */
  withdraw(claimId: string): boolean
  readonly appendCounts: { readonly appends: number; readonly records: number }
  /** Appends queued records for at most `timeoutMs`, then stops. */
  stop(timeoutMs: number): Promise<void>
}

/** Options for {@link createRecordBatcher}. */
export interface RecordBatcherOptions {
  readonly log: LogClient
  /** Milliseconds between two appends. */
  readonly batchMs: number
  /** Called with each claim that is certainly not on the log. */
  readonly onNotAppended: (claimId: string, reason: string) => void
}

/** Creates a batcher that runs one append at a time. */
export function createRecordBatcher(
  options: RecordBatcherOptions,
): RecordBatcher {
  const { log, batchMs, onNotAppended } = options
  const appendCounts = { appends: 0, records: 0 }
  let queue: ClaimRecord[] = []
  let flushTask: Promise<void> | undefined
  let stopped = false

  function requeue(batch: readonly ClaimRecord[]): void {
    const repeatable = batch.filter(
      ({ kind }) => kind !== ClaimRecordKind.Claim,
    )
    queue = [...repeatable, ...queue].slice(-MAX_QUEUED_RECORDS)
  }

  async function appendBatch(): Promise<void> {
    const batch = queue.slice(0, MAX_BATCH_RECORDS)
    queue = queue.slice(MAX_BATCH_RECORDS)
    appendCounts.appends += 1
    appendCounts.records += batch.length
    const result = await log.append(CLAIMS_STREAM, batch)
    if (result.isOk()) return
    // Releases and outcomes are idempotent, so they are appended again.
    requeue(batch)
    if (result.error.mayHaveTakenEffect) return
    for (const { kind, claimId } of batch)
      if (kind === ClaimRecordKind.Claim)
        onNotAppended(claimId, result.error.message)
  }

  async function flushQueue(): Promise<void> {
    while (queue.length > 0 && !stopped) {
      await appendBatch()
      await sleep(batchMs)
    }
  }

  function startFlush(): void {
    if (stopped) return
    flushTask ??= flushQueue().finally(() => {
      flushTask = undefined
      if (queue.length > 0) startFlush()
    })
  }

  return {
    appendCounts,
    add: (record) => {
      queue.push(record)
      startFlush()
    },
    withdraw: (claimId) => {
      const remaining = queue.filter((record) => record.claimId !== claimId)
      const withdrawn = remaining.length < queue.length
      queue = remaining
      return withdrawn
    },
    stop: async (timeoutMs) => {
      const timeout = sleep(timeoutMs, undefined, { ref: false })
      while (flushTask !== undefined) {
        const inTime = await Promise.race([
          flushTask.then(() => true),
          timeout.then(() => false),
        ])
        if (!inTime) break
      }
      stopped = true
    },
  }
}
