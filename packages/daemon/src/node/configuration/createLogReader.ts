import {
  chooseSnapshot,
  CONFIGURATION_STREAM,
  ConfigurationProblemKind,
  nextReadOffset,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { Result } from 'neverthrow'
import { setTimeout as sleep } from 'node:timers/promises'
import { LOG_POLL_WAIT_MS, LOG_RETRY_MS } from '../constants.js'
import type { LogClient, LogError, LogPage } from '../logService/logClient.js'
import { createLoop } from '../tasks/createLoop.js'
import type { ConfigurationStore } from './createConfigurationStore.js'
import { readSnapshots } from './readSnapshots.js'

/** Polls the configuration stream and applies its records to the store. */
export interface LogReader {
  /** Whether this router reads the log and the last read succeeded. */
  readonly connected: boolean
  /**
   * Applies the records that the log holds now; resolves to false when the read
   * fails.
   */
  refresh(): Promise<boolean>
  stop(): Promise<void>
}

/** Options for {@link createLogReader}. */
export interface LogReaderOptions {
  readonly log: LogClient
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  /** Whether this router is one of those that read the log. */
  readonly shouldRead: () => boolean
}

/** Problems that a snapshot of the log can resolve. */
const SNAPSHOT_PROBLEMS: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
  ConfigurationProblemKind.RecordsMissing,
])

/** Starts polling the configuration stream. */
export function createLogReader(options: LogReaderOptions): LogReader {
  const { log, store, logger } = options
  let connected = false
  let hasReadSnapshots = false

  function lacksLastRecord(page: LogPage): boolean {
    const last = store.state.lastRecord?.offset
    const first = page.records[0]?.offset
    return last !== undefined && first !== undefined && first > last
  }

  /**
   * Waits for new records and returns a page that starts with the last applied
   * record, where the log still holds it, so that a rewritten log is detected.
   */
  async function readPage(waitMs: number): Promise<Result<LogPage, LogError>> {
    const { state } = store
    const from = state.problem ? nextReadOffset(state) : state.nextOffset
    const page = await log.read(CONFIGURATION_STREAM, from, waitMs)
    if (page.isErr() || !lacksLastRecord(page.value)) return page
    return log.read(CONFIGURATION_STREAM, nextReadOffset(store.state))
  }

  async function restoreFromSnapshot(): Promise<void> {
    const page = await readSnapshots(log)
    if (page.isErr()) return
    const values = page.value.records.map(({ value }) => value)
    const chosen = chooseSnapshot(store.state, page.value.logId, values)
    if (chosen.snapshot !== undefined) store.applySnapshot(chosen.snapshot)
    hasReadSnapshots = true
  }

  async function poll(waitMs: number): Promise<boolean> {
    if (!hasReadSnapshots) await restoreFromSnapshot()
    const page = await readPage(waitMs)
    if (page.isErr()) {
      if (connected)
        logger.warn(`Log service unavailable: ${page.error.message}.`)
      return false
    }
    store.applyPage(page.value)
    const { problem } = store.state
    if (problem && SNAPSHOT_PROBLEMS.has(problem.kind))
      await restoreFromSnapshot()
    return true
  }

  async function runOnce(signal: AbortSignal): Promise<void> {
    connected = options.shouldRead() && (await poll(LOG_POLL_WAIT_MS))
    if (connected && !store.state.problem) return
    await sleep(LOG_RETRY_MS, undefined, { signal }).catch(() => undefined)
  }

  const loop = createLoop(runOnce, 0, (error) => {
    connected = false
    logger.error(error)
  })
  return {
    get connected() {
      return connected
    },
    refresh: () => poll(0),
    stop: () => loop.stop(),
  }
}
