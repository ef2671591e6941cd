import type { ConfigurationState } from '../configuration/configurationState.js'
import { restoreSnapshot } from './restoreSnapshot.js'
import { type SnapshotRecord, snapshotRecordSchema } from './snapshotRecord.js'

/** Newest valid snapshot, and why others were rejected. */
export interface SnapshotChoice {
  readonly state?: ConfigurationState
  readonly snapshot?: unknown
  /** Reasons why snapshots were rejected. */
  readonly rejected: readonly string[]
}

/**
 * Drops a moved snapshot that follows another one of the same version. Routers
 * that restored the first one have already continued from it.
 */
function dropRepeatedMoves(
  logId: string,
  values: readonly unknown[],
): unknown[] {
  const moves: SnapshotRecord[] = []
  return values.filter((value) => {
    const parsed = snapshotRecordSchema.safeParse(value)
    if (!parsed.success) return true
    const { data } = parsed
    if (data.movedBy === undefined || data.logId !== logId) return true
    const isRepeated = moves.some(
      ({ version, nextOffset }) =>
        version >= data.version && nextOffset <= data.nextOffset,
    )
    moves.push(data)
    return !isRepeated
  })
}

/** Chooses the newest snapshot of a log that is not older than the state. */
export function chooseSnapshot(
  state: ConfigurationState,
  logId: string,
  values: readonly unknown[],
): SnapshotChoice {
  let best: ConfigurationState | undefined
  let snapshot: unknown
  const rejected: string[] = []
  for (const value of dropRepeatedMoves(logId, values)) {
    const restored = restoreSnapshot(best ?? state, value)
    if (restored.isErr()) rejected.push(restored.error.message)
    else if (restored.value.logId === logId) {
      best = restored.value
      snapshot = value
    }
  }
  return { state: best, snapshot, rejected }
}
