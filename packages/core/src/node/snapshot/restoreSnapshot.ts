import { err, ok, type Result } from 'neverthrow'
import {
  type ConfigurationProblem,
  ConfigurationProblemKind,
} from '../configuration/configurationProblem.js'
import { configurationSchema } from '../configuration/configurationSchema.js'
import type { ConfigurationState } from '../configuration/configurationState.js'
import { CONFIGURATION_SCHEMA } from '../constants.js'
import { hashSnapshot } from './createSnapshot.js'
import { type SnapshotRecord, snapshotRecordSchema } from './snapshotRecord.js'

function reject(
  kind: ConfigurationProblemKind,
  message: string,
): Result<never, ConfigurationProblem> {
  return err({ kind, message })
}

function toState(
  snapshot: SnapshotRecord,
): Result<ConfigurationState, ConfigurationProblem> {
  const parsed = configurationSchema.safeParse(snapshot.configuration)
  if (!parsed.success)
    return reject(
      ConfigurationProblemKind.SnapshotBroken,
      `the configuration in the snapshot of version ${snapshot.version} does not match the schema`,
    )
  return ok({
    version: snapshot.version,
    configuration: parsed.data,
    digest: snapshot.digest,
    nextOffset: snapshot.nextOffset,
    outcomes: new Map(snapshot.outcomes.map((each) => [each.patchId, each])),
    schema: snapshot.schema,
    logId: snapshot.logId,
    lastRecord: snapshot.lastRecord,
  })
}

/** Returns whether an operator moved the snapshot to repair a truncated log. */
function isRepair(
  state: ConfigurationState,
  snapshot: SnapshotRecord,
): boolean {
  const kind = state.problem?.kind
  const isTruncated =
    kind === ConfigurationProblemKind.LogShortened ||
    kind === ConfigurationProblemKind.LogRewritten
  return isTruncated && snapshot.movedBy !== undefined
}

/**
 * Returns the state in a snapshot, or the problem for which it is rejected. A
 * snapshot must be intact and must not be older than the current state.
 */
export function restoreSnapshot(
  state: ConfigurationState,
  value: unknown,
): Result<ConfigurationState, ConfigurationProblem> {
  const parsed = snapshotRecordSchema.safeParse(value)
  if (!parsed.success || parsed.data.checksum !== hashSnapshot(parsed.data))
    return reject(
      ConfigurationProblemKind.SnapshotBroken,
      'a snapshot does not match the schema or its checksum; skipping it',
    )
  const snapshot = parsed.data
  if (snapshot.schema > CONFIGURATION_SCHEMA)
    return reject(
      ConfigurationProblemKind.NewerSchema,
      `a snapshot has schema ${snapshot.schema}, but this release supports up to ${CONFIGURATION_SCHEMA}; upgrade this router`,
    )
  if (snapshot.version < state.version)
    return reject(
      ConfigurationProblemKind.SnapshotOlder,
      `a snapshot has the older version ${snapshot.version}; keeping version ${state.version}`,
    )
  const isSameVersion = snapshot.version === state.version
  if (isSameVersion && snapshot.digest !== state.digest)
    return reject(
      ConfigurationProblemKind.DigestDiffers,
      `a snapshot of version ${state.version} has a different digest than the current configuration`,
    )
  const isBehind =
    snapshot.logId === state.logId && snapshot.nextOffset < state.nextOffset
  if (isBehind && !isRepair(state, snapshot))
    return reject(
      ConfigurationProblemKind.SnapshotOlder,
      `a snapshot ends at offset ${snapshot.nextOffset}, before the current offset ${state.nextOffset}`,
    )
  return toState(snapshot)
}
