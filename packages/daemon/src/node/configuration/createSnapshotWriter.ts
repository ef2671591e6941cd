import {
  createSnapshot,
  scheduleSnapshot,
  SNAPSHOT_STREAM,
  type SnapshotSchedule,
  type SnapshotScheduleOptions,
  snapshotRecordSchema,
  type WrittenSnapshot,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { LogClient, LogRecord } from '../logService/logClient.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'
import { SNAPSHOT_CHECK_INTERVAL_MS } from './constants.js'
import type { ConfigurationStore } from './createConfigurationStore.js'
import { readSnapshots } from './readSnapshots.js'

/** Options for {@link createSnapshotWriter}. */
export interface SnapshotWriterOptions {
  readonly log: LogClient
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  /** Id of this router. */
  readonly router: string
  /** Ids of the live peers. */
  readonly liveRouters: () => readonly string[]
  /** Retention time of the log, in milliseconds. */
  readonly retentionMs: number
  /** Current time, in milliseconds since the epoch. */
  readonly epochNow: () => number
  /** Whether this router follows the log itself. */
  readonly followsLog: () => boolean
}

function parseSnapshotRecord(record: LogRecord): WrittenSnapshot | undefined {
  const parsed = snapshotRecordSchema.safeParse(record.value)
  if (!parsed.success) return undefined
  const { version, nextOffset } = parsed.data
  return { version, nextOffset, atMs: record.atMs }
}

/** Starts writing a snapshot to the log whenever one is due. */
export function createSnapshotWriter(options: SnapshotWriterOptions): Loop {
  const { log, store, logger } = options
  let schedule: SnapshotSchedule = {}
  let last: WrittenSnapshot | undefined

  /** Updates the schedule; returns whether a snapshot is due. */
  function advanceSchedule(): boolean {
    const scheduleOptions: SnapshotScheduleOptions = {
      version: store.state.version,
      nextOffset: store.state.nextOffset,
      last,
      router: options.router,
      liveRouters: options.liveRouters(),
      retentionMs: options.retentionMs,
      nowMs: options.epochNow(),
    }
    const step = scheduleSnapshot(schedule, scheduleOptions)
    schedule = step.schedule
    return step.write
  }

  async function fetchLastSnapshot(): Promise<boolean> {
    const page = await readSnapshots(log, 1)
    if (page.isErr()) return false
    const [newest] = page.value.records
    last = newest ? parseSnapshotRecord(newest) : undefined
    return true
  }

  async function runOnce(): Promise<void> {
    if (store.state.problem || !options.followsLog()) return
    if (!advanceSchedule()) return
    // Another router may have written a snapshot since the last fetch.
    if (!(await fetchLastSnapshot()) || !advanceSchedule()) return
    const snapshot = createSnapshot(store.state)
    const written = await log.append(SNAPSHOT_STREAM, [snapshot])
    if (written.isErr()) return
    logger.info(`Wrote a snapshot of version ${store.state.version}.`)
    await fetchLastSnapshot()
  }

  return createLoop(runOnce, SNAPSHOT_CHECK_INTERVAL_MS, (error) => {
    logger.error(error)
  })
}
