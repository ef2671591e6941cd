import type { ConfigurationState } from '../configuration/configurationState.js'
import { restoreSnapshot } from './restoreSnapshot.js'
import { type SnapshotRecord, snapshotRecordSchema } from './snapshotRecord.js'

/** The best of some snapshots, and why others were refused. */
export interface SnapshotChoice {
  readonly state?: ConfigurationState
  readonly snapshot?: unknown
  readonly refused: readonly string[]
}

/**
 * Drops a move that follows another one of the same version: routers that took
 * the first have gone on from there, so the first stands.
 */
function withoutRepeatedMoves(
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

/** Chooses the newest snapshot of a log that does not lead back. */
export function chooseSnapshot(
  state: ConfigurationState,
  logId: string,
  values: readonly unknown[],
): SnapshotChoice {
  let best: ConfigurationState | undefined
  let snapshot: unknown
  const refused: string[] = []
  for (const value of withoutRepeatedMoves(logId, values)) {
    const adopted = restoreSnapshot(best ?? state, value)
    if (adopted.isErr()) refused.push(adopted.error.message)
    else if (adopted.value.logId === logId) {
      best = adopted.value
      snapshot = value
    }
  }
  return { state: best, snapshot, refused }
}
