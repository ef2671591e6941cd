import { scheduleSnapshot, type SnapshotSchedule } from '@auburnbay/core'
import type { Figure } from '../figure.js'

const DAY_MS = 86_400_000
const RETENTION_MS = 7 * DAY_MS
const TICK_MS = 1_000
/** Appends per second that the log service accepts. */
const MAX_APPENDS_PER_S = 300
const LEASE_MS = 15_000
const ORDER_ROUND_MS = 1_000

/** Counts the snapshots of one day with evenly spaced changes. */
function countSnapshotsPerDay(changes: number): number {
  let schedule: SnapshotSchedule = {}
  let last = { version: 0, nextOffset: 0, atMs: 0 }
  let written = 0
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
    const version = Math.floor((nowMs / DAY_MS) * changes)
    const step = scheduleSnapshot(schedule, {
      version,
      nextOffset: version,
      last,
      router: 'router-1',
      liveRouters: [],
      retentionMs: RETENTION_MS,
      nowMs,
    })
    schedule = step.schedule
    if (!step.write) continue
    written += 1
    last = { version, nextOffset: version, atMs: nowMs }
  }
  return written
}

/** Counts the records that renew one lease for a day. */
function countLeaseRecordsPerDay(): number {
  let validUntilMs = 0
  let written = 0
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += ORDER_ROUND_MS) {
    if (validUntilMs - nowMs > LEASE_MS / 2) continue
    written += 1
    validUntilMs = nowMs + LEASE_MS * 0.8
  }
  return written
}

function measureSize(name: string, changes: number): Figure[] {
  const streams = [
    ['configuration', changes],
    ['snapshots', countSnapshotsPerDay(changes)],
    ['leases', countLeaseRecordsPerDay()],
  ] as const
  const figures = streams.map(([stream, records]) => ({
    measure: `state.appends-${stream}-${name}`,
    value: (records * 1_000) / DAY_MS,
    unit: 'appends a second',
  }))
  const total = figures.reduce((sum, { value }) => sum + value, 0)
  const all = {
    measure: `state.appends-${name}`,
    value: total,
    unit: 'appends a second of configuration, snapshots and leases',
    bound: MAX_APPENDS_PER_S,
  }
  return [...figures, all]
}

/** Measures the appends per second of each stream, with 100 and with 47,000 changes a day. */
export function measureAppends(): Figure[] {
  return [...measureSize('today', 100), ...measureSize('target-size', 47_000)]
}
