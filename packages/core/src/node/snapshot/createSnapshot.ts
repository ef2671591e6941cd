import type { ConfigurationState } from '../configuration/configurationState.js'
import { hash64 } from '../hash/hash64.js'
import type { SnapshotRecord } from './snapshotRecord.js'

/** Returns the checksum of a snapshot. */
export function hashSnapshot(
  snapshot: Omit<SnapshotRecord, 'checksum'>,
): string {
  const { version, digest, logId, nextOffset, lastRecord } = snapshot
  const { movedBy = '' } = snapshot
  const recordHash = lastRecord?.hash ?? ''
  const header = [version, digest, logId, nextOffset, recordHash, movedBy]
  // Arrays, so that the checksum does not depend on the order of object keys.
  const outcomes = snapshot.outcomes.map((outcome) => [
    outcome.kind,
    outcome.patchId,
    outcome.offset,
    outcome.version,
    outcome.reason,
  ])
  return hash64(JSON.stringify([...header, outcomes, snapshot.configuration]))
}

function addChecksum(
  snapshot: Omit<SnapshotRecord, 'checksum'>,
): SnapshotRecord {
  return { ...snapshot, checksum: hashSnapshot(snapshot) }
}

/** Creates a snapshot of a state, or returns undefined before a log was read. */
export function createSnapshot(
  state: ConfigurationState,
): SnapshotRecord | undefined {
  if (state.logId === undefined) return undefined
  return addChecksum({
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

/**
 * Creates a snapshot that continues at `nextOffset` of a log which lost the
 * configuration. `author` is the operator who moves it there.
 */
export function moveSnapshot(
  state: ConfigurationState,
  logId: string,
  nextOffset: number,
  author: string,
): SnapshotRecord {
  const { version, digest, schema, configuration } = state
  return addChecksum({
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
