import type { ConfigurationState } from '../configuration/configurationState.js'
import { hash64 } from '../hash/hash64.js'
import type { SnapshotRecord } from './snapshotRecord.js'

/** Returns the hash that guards a snapshot against damage. */
export function hashSnapshot(
  snapshot: Omit<SnapshotRecord, 'checksum'>,
): string {
  const { version, digest, logId, nextOffset, lastRecord } = snapshot
  const { movedBy = '' } = snapshot
  const mark = lastRecord?.hash ?? ''
  const place = [version, digest, logId, nextOffset, mark, movedBy]
  // The order of an outcome's fields must not matter.
  const outcomes = snapshot.outcomes.map((outcome) => [
    outcome.kind,
    outcome.patchId,
    outcome.offset,
    outcome.version,
    outcome.reason,
  ])
  return hash64(JSON.stringify([...place, outcomes, snapshot.configuration]))
}

function seal(snapshot: Omit<SnapshotRecord, 'checksum'>): SnapshotRecord {
  return { ...snapshot, checksum: hashSnapshot(snapshot) }
}

/** Creates a snapshot of a state; undefined before a log was read. */
export function createSnapshot(
  state: ConfigurationState,
): SnapshotRecord | undefined {
  if (state.logId === undefined) return undefined
  return seal({
    type: 'snapshot',
    schema: state.schema,
    version: state.version,
    digest: state.digest,
    logId: state.logId,
    nextOffset: state.nextOffset,
    ...(state.lastRecord ? { lastRecord: state.lastRecord } : {}),
    outcomes: [...state.outcomes.values()],
    configuration: state.configuration,
  })
}

/** Places a snapshot of a state at the end of another log. */
export function moveSnapshot(
  state: ConfigurationState,
  logId: string,
  nextOffset: number,
  author: string,
): SnapshotRecord {
  const { version, digest, schema, configuration } = state
  return seal({
    type: 'snapshot',
    schema,
    version,
    digest,
    logId,
    nextOffset,
    outcomes: [],
    configuration,
    movedBy: author,
  })
}
