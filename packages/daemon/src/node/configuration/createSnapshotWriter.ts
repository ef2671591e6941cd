import {
  createSnapshot,
  scheduleSnapshot,
  SNAPSHOT_STREAM,
  type SnapshotSchedule,
  type SnapshotScheduleInput,
  snapshotRecordSchema,
  type WrittenSnapshot,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { LogClient, LogRecord } from '../logService/logClient.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'
import { SNAPSHOT_CHECK_INTERVAL_MS } from './constants.js'
import type { ConfigurationStore } from './createConfigurationStore.js'
import { readSnapshots } from './readSnapshots.js'

/** What the writer of snapshots works with. */
export interface SnapshotWriterOptions {
  readonly log: LogClient
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  readonly router: string
  readonly liveRouters: () => readonly string[]
  /** Milliseconds that the log keeps a record. */
  readonly retentionMs: number
  /** Milliseconds since the epoch. */
  readonly nowMs: () => number
  /** Whether this router reads the log now. */
  readonly followsLog: () => boolean
}

function describe(record: LogRecord): WrittenSnapshot | undefined {
  const parsed = snapshotRecordSchema.safeParse(record.value)
  if (!parsed.success) return undefined
  const { version, nextOffset } = parsed.data
  return { version, nextOffset, atMs: record.atMs }
}

/** Starts keeping a fresh snapshot on the log. */
export function createSnapshotWriter(options: SnapshotWriterOptions): Loop {
  const { log, store, logger } = options
  let schedule: SnapshotSchedule = {}
  let last: WrittenSnapshot | undefined

  function decide(): boolean {
    const input: SnapshotScheduleInput = {
      version: store.state.version,
      nextOffset: store.state.nextOffset,
      last,
      router: options.router,
      liveRouters: options.liveRouters(),
      retentionMs: options.retentionMs,
      nowMs: options.nowMs(),
    }
    const step = scheduleSnapshot(schedule, input)
    schedule = step.schedule
    return step.write
  }

  async function lookUpLast(): Promise<boolean> {
    const page = await readSnapshots(log, 1)
    if (page.isErr()) return false
    const [newest] = page.value.records
    last = newest ? describe(newest) : undefined
    return true
  }

  async function round(): Promise<void> {
    if (store.state.problem || !options.followsLog()) return
    if (!decide()) return
    // Another router may have written since this one last looked.
    if (!(await lookUpLast()) || !decide()) return
    const snapshot = createSnapshot(store.state)
    const written = await log.append(SNAPSHOT_STREAM, [snapshot])
    if (written.isErr()) return
    logger.info(`Wrote a snapshot of version ${store.state.version}.`)
    await lookUpLast()
  }

  return createLoop(round, SNAPSHOT_CHECK_INTERVAL_MS, (error) => {
    logger.error(error)
  })
}
