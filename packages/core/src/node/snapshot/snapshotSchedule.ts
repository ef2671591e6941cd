import { hash32 } from '../hash/hash32.js'
import { rendezvousOrder } from '../routing/rendezvousOrder.js'
import {
  SNAPSHOT_EVERY_RECORDS,
  SNAPSHOT_JITTER_MS,
  SNAPSHOT_RANK_STEP_MS,
} from '../constants.js'

/** Latest snapshot in the log. */
export interface WrittenSnapshot {
  readonly version: number
  readonly nextOffset: number
  /** Milliseconds since the epoch. */
  readonly atMs: number
}

/** Options for {@link scheduleSnapshot}. */
export interface SnapshotScheduleOptions {
  readonly version: number
  readonly nextOffset: number
  readonly last?: WrittenSnapshot
  readonly router: string
  readonly liveRouters: readonly string[]
  /** Retention time of the log, in milliseconds. */
  readonly retentionMs: number
  /** Milliseconds since the epoch. */
  readonly nowMs: number
}

/** Time since which a snapshot is due; undefined while none is due. */
export interface SnapshotSchedule {
  readonly dueSinceMs?: number
}

function isDue(options: SnapshotScheduleOptions): boolean {
  const { last, version, nextOffset, nowMs, retentionMs } = options
  if (version === 0) return false
  if (!last) return true
  const ageMs = nowMs - last.atMs
  if (ageMs >= retentionMs / 4) return true
  if (version === last.version) return false
  const records = nextOffset - last.nextOffset
  return records >= SNAPSHOT_EVERY_RECORDS || ageMs >= retentionMs / 8
}

function resolveDelayMs(options: SnapshotScheduleOptions): number {
  const key = `snapshot\n${options.last?.nextOffset ?? 0}`
  const routers = new Set([...options.liveRouters, options.router])
  const order = rendezvousOrder(
    key,
    [...routers].map((id) => ({ id, weight: 1 })),
  )
  const rank = order.findIndex(({ id }) => id === options.router)
  const jitter = hash32(`${key}\n${options.router}`) % SNAPSHOT_JITTER_MS
  return rank * SNAPSHOT_RANK_STEP_MS + jitter
}

/**
 * Returns whether this router writes a snapshot now. Routers take turns by a
 * delay of their rank, and two writers at once do no harm.
 */
export function scheduleSnapshot(
  schedule: SnapshotSchedule,
  options: SnapshotScheduleOptions,
): { schedule: SnapshotSchedule; write: boolean } {
  if (!isDue(options)) return { schedule: {}, write: false }
  const dueSinceMs = schedule.dueSinceMs ?? options.nowMs
  const write = options.nowMs - dueSinceMs >= resolveDelayMs(options)
  return { schedule: { dueSinceMs }, write }
}
