import {
  type ClaimDecision,
  CLAIMS_STREAM,
  type ClaimTable,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import { LOG_POLL_WAIT_MS, LOG_RETRY_MS } from '../constants.js'
import type { LogClient, LogPage } from '../logService/logClient.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'

/** Options for {@link createClaimTailer}. */
export interface ClaimTailerOptions {
  readonly log: LogClient
  readonly table: ClaimTable
  readonly logger: ConsolaInstance
  readonly onDecision: (decision: ClaimDecision) => void
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
  /** Minimum time for which the log keeps a record, in milliseconds. */
  readonly logRetentionMs: number
}

/** Starts applying the records of the claims stream to the table. */
export function createClaimTailer(options: ClaimTailerOptions): Loop {
  const { log, table, logger, onDecision, epochNow, logRetentionMs } = options
  let nextOffset = 0
  let logId: string | undefined

  /** Resets the table after a gap in the log; older keys are then refused. */
  function checkContinuity(page: LogPage): void {
    const replaced = logId !== undefined && page.logId !== logId
    const truncated = page.nextOffset < nextOffset
    logId = page.logId
    if (replaced || truncated) {
      logger.error('The claims stream was replaced; older keys are refused.')
      table.reset(epochNow())
      nextOffset = 0
    }
    if (page.firstOffset > nextOffset) {
      const oldestRecordAtMs = page.records[0]?.atMs ?? Infinity
      table.reset(Math.min(oldestRecordAtMs, epochNow() - logRetentionMs))
      nextOffset = page.firstOffset
    }
  }

  function applyPage(page: LogPage): void {
    checkContinuity(page)
    for (const { value, offset, atMs } of page.records) {
      if (offset < nextOffset) continue
      nextOffset = offset + 1
      const decision = table.apply(value, offset, atMs)
      if (decision) onDecision(decision)
    }
    table.trim(page.firstOffset)
  }

  return createLoop(
    async () => {
      const page = await log.read(CLAIMS_STREAM, nextOffset, LOG_POLL_WAIT_MS)
      if (page.isOk()) applyPage(page.value)
      else await new Promise((resolve) => setTimeout(resolve, LOG_RETRY_MS))
    },
    0,
    (error) => {
      logger.error(error)
    },
  )
}
