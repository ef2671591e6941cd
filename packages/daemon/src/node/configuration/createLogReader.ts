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

/** Reads the configuration stream into the store. */
export interface LogReader {
  /** Whether this router reads the log and the last read was answered. */
  readonly connected: boolean
  /** Reads what the log has now; returns whether it answered. */
  refresh(): Promise<boolean>
  stop(): Promise<void>
}

/** What a log reader works with. */
export interface LogReaderOptions {
  readonly log: LogClient
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  /** Whether this router reads the log now. */
  readonly shouldRead: () => boolean
}

const NEEDS_SNAPSHOT: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
  ConfigurationProblemKind.RecordsMissing,
])

/** Starts reading the configuration stream. */
export function createLogReader(options: LogReaderOptions): LogReader {
  const { log, store, logger } = options
  let connected = false
  let startedFromSnapshot = false

  function missesLast(page: LogPage): boolean {
    const last = store.state.lastRecord?.offset
    const first = page.records[0]?.offset
    return last !== undefined && first !== undefined && first > last
  }

  /** Reads a page that starts with the last record read, where it is kept. */
  async function readPage(waitMs: number): Promise<Result<LogPage, LogError>> {
    const { state } = store
    const from = state.problem ? nextReadOffset(state) : state.nextOffset
    const page = await log.read(CONFIGURATION_STREAM, from, waitMs)
    if (page.isErr() || !missesLast(page.value)) return page
    return log.read(CONFIGURATION_STREAM, nextReadOffset(store.state))
  }

  async function takeSnapshot(): Promise<void> {
    const page = await readSnapshots(log)
    if (page.isErr()) return
    const values = page.value.records.map(({ value }) => value)
    const chosen = chooseSnapshot(store.state, page.value.logId, values)
    if (chosen.snapshot !== undefined) store.applySnapshot(chosen.snapshot)
    startedFromSnapshot = true
  }

  async function read(waitMs: number): Promise<boolean> {
    if (!startedFromSnapshot) await takeSnapshot()
    const page = await readPage(waitMs)
    if (page.isErr()) {
      if (connected) logger.warn(`Lost the log: ${page.error.message}.`)
      return false
    }
    store.applyPage(page.value)
    const { problem } = store.state
    if (problem && NEEDS_SNAPSHOT.has(problem.kind)) await takeSnapshot()
    return true
  }

  async function round(signal: AbortSignal): Promise<void> {
    connected = options.shouldRead() && (await read(LOG_POLL_WAIT_MS))
    if (connected && !store.state.problem) return
    await sleep(LOG_RETRY_MS, undefined, { signal }).catch(() => undefined)
  }

  const loop = createLoop(round, 0, (error) => {
    connected = false
    logger.error(error)
  })
  return {
    get connected() {
      return connected
    },
    refresh: () => read(0),
    stop: () => loop.stop(),
  }
}
