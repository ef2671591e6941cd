import { CONFIGURATION_SCHEMA, OUTCOME_WINDOW_RECORDS } from '../constants.js'
import { hash64 } from '../hash/hash64.js'
import { checkChange } from '../teams/checkChange.js'
import { ConfigurationProblemKind } from './configurationProblem.js'
import type { Configuration } from './configurationSchema.js'
import type { ConfigurationState } from './configurationState.js'
import { patchConfiguration } from './patchConfiguration.js'
import { type PatchOutcome, PatchOutcomeKind } from './patchOutcome.js'
import { type PatchRecord, patchRecordSchema } from './patchRecord.js'
import { schemaOf, schemaRecordSchema } from './schemaRecord.js'

/** A record with its place in the log. */
export interface ConfigurationLogRecord {
  readonly offset: number
  readonly value: unknown
}

/** A state and the outcomes of the records that led to it, in log order. */
export interface ConfigurationStep {
  readonly state: ConfigurationState
  readonly outcomes: readonly PatchOutcome[]
}

const MAX_REASON_LENGTH = 300

interface Progress {
  state: ConfigurationState
  readonly known: Map<string, PatchOutcome>
  readonly outcomes: PatchOutcome[]
}

/** Returns the hash by which a record is recognised when read again. */
export function hashRecord(value: unknown): string {
  return hash64(JSON.stringify([value]))
}

interface Decision {
  readonly outcome: PatchOutcome
  readonly configuration?: Configuration
}

function decide(
  state: ConfigurationState,
  record: PatchRecord,
  offset: number,
): Decision {
  const { version, schema } = state
  const base = { patchId: record.patchId, offset, version }
  const invalid = (reason: string): Decision => ({
    outcome: {
      ...base,
      kind: PatchOutcomeKind.Invalid,
      reason: reason.slice(0, MAX_REASON_LENGTH),
    },
  })
  if (record.schema < schema)
    return invalid(
      `the patch has schema ${record.schema}, but the log needs ${schema}; send it again through an upgraded router`,
    )
  if (record.baseVersion !== version) {
    const reason = `the patch is against version ${record.baseVersion}, but version ${version} is in force`
    return { outcome: { ...base, kind: PatchOutcomeKind.Conflict, reason } }
  }
  const patched = patchConfiguration(state.configuration, record.operations)
  if (patched.isErr()) return invalid(patched.error)
  const { configuration } = state
  const refused = checkChange(configuration, patched.value, record.operator)
  if (refused !== undefined) return invalid(refused)
  const kind = PatchOutcomeKind.Applied
  const outcome = { ...base, kind, version: version + 1 }
  return { outcome, configuration: patched.value }
}

function applyPatchRecord(
  progress: Progress,
  record: PatchRecord,
  offset: number,
): void {
  const first = progress.known.get(record.patchId)
  if (first) {
    const kind = PatchOutcomeKind.Duplicate
    progress.outcomes.push({ ...first, kind, offset })
    return
  }
  const { outcome, configuration } = decide(progress.state, record, offset)
  progress.known.set(record.patchId, outcome)
  progress.outcomes.push(outcome)
  if (!configuration) return
  const { digest } = progress.state
  const operations = JSON.stringify(record.operations)
  progress.state = {
    ...progress.state,
    version: outcome.version,
    configuration,
    digest: hash64(`${digest}\n${offset}\n${record.patchId}\n${operations}`),
  }
}

// The window is counted in log offsets, so that every router forgets alike.
function forgetOldOutcomes(progress: Progress, offset: number): void {
  for (const [patchId, outcome] of progress.known) {
    if (outcome.offset > offset - OUTCOME_WINDOW_RECORDS) return
    progress.known.delete(patchId)
  }
}

function applyRecord(progress: Progress, record: ConfigurationLogRecord): void {
  const { offset, value } = record
  forgetOldOutcomes(progress, offset)
  const patch = patchRecordSchema.safeParse(value)
  const raised = schemaRecordSchema.safeParse(value)
  if (patch.success) applyPatchRecord(progress, patch.data, offset)
  else if (raised.success) {
    const schema = Math.max(progress.state.schema, raised.data.schema)
    progress.state = { ...progress.state, schema }
  }
  progress.state = {
    ...progress.state,
    nextOffset: offset + 1,
    lastRecord: { offset, hash: hashRecord(value) },
  }
}

/** Applies records in log order; stops before one that needs a newer release. */
export function applyRecords(
  state: ConfigurationState,
  records: readonly ConfigurationLogRecord[],
): ConfigurationStep {
  const progress: Progress = {
    state,
    known: new Map(state.outcomes),
    outcomes: [],
  }
  for (const record of records) {
    const needed = schemaOf(record.value) ?? 0
    if (needed > CONFIGURATION_SCHEMA) {
      const kind = ConfigurationProblemKind.NewerSchema
      const message = `the record at offset ${record.offset} has schema ${needed}, but this release knows ${CONFIGURATION_SCHEMA}; upgrade this router`
      progress.state = { ...progress.state, problem: { kind, message } }
      break
    }
    applyRecord(progress, record)
  }
  return {
    state: { ...progress.state, outcomes: progress.known },
    outcomes: progress.outcomes,
  }
}
