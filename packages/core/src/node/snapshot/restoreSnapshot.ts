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

function refuse(
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
    return refuse(
      ConfigurationProblemKind.SnapshotBroken,
      `the snapshot of version ${snapshot.version} breaks the schema`,
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

/** Whether an operator placed the snapshot at the end of a shortened log. */
function repairs(state: ConfigurationState, snapshot: SnapshotRecord): boolean {
  const kind = state.problem?.kind
  const isShorter =
    kind === ConfigurationProblemKind.LogShortened ||
    kind === ConfigurationProblemKind.LogRewritten
  return isShorter && snapshot.movedBy !== undefined
}

/** Returns the state that a snapshot holds, or why this router refuses it. */
export function restoreSnapshot(
  state: ConfigurationState,
  value: unknown,
): Result<ConfigurationState, ConfigurationProblem> {
  const parsed = snapshotRecordSchema.safeParse(value)
  if (!parsed.success || parsed.data.checksum !== hashSnapshot(parsed.data))
    return refuse(
      ConfigurationProblemKind.SnapshotBroken,
      'a snapshot is damaged; it was skipped',
    )
  const snapshot = parsed.data
  if (snapshot.schema > CONFIGURATION_SCHEMA)
    return refuse(
      ConfigurationProblemKind.NewerSchema,
      `a snapshot has schema ${snapshot.schema}, but this release knows ${CONFIGURATION_SCHEMA}; upgrade this router`,
    )
  if (snapshot.version < state.version)
    return refuse(
      ConfigurationProblemKind.SnapshotOlder,
      `a snapshot has version ${snapshot.version}; version ${state.version} stays in force`,
    )
  const isSameVersion = snapshot.version === state.version
  if (isSameVersion && snapshot.digest !== state.digest)
    return refuse(
      ConfigurationProblemKind.DigestDiffers,
      `a snapshot of version ${state.version} has other contents than the version in force`,
    )
  const isBehind =
    snapshot.logId === state.logId && snapshot.nextOffset < state.nextOffset
  if (isBehind && !repairs(state, snapshot))
    return refuse(
      ConfigurationProblemKind.SnapshotOlder,
      `a snapshot ends at offset ${snapshot.nextOffset}; offset ${state.nextOffset} was reached`,
    )
  return toState(snapshot)
}
