import { CONFIGURATION_SCHEMA, OUTCOME_WINDOW_RECORDS } from '../constants.js'
import { hash64 } from '../hash/hash64.js'
import { checkChange } from '../teams/checkChange.js'
import { ConfigurationProblemKind } from './configurationProblem.js'
import type { Configuration } from './configurationSchema.js'
import type { ConfigurationState } from './configurationState.js'
import { patchConfiguration } from './patchConfiguration.js'
import { type PatchOutcome, PatchOutcomeKind } from './patchOutcome.js'
import { type PatchRecord, patchRecordSchema } from './patchRecord.js'
import { requiredSchema, schemaRecordSchema } from './schemaRecord.js'

/** A record of the configuration stream with its offset. */
export interface ConfigurationLogRecord {
  readonly offset: number
  readonly value: unknown
}

/** State after a batch of records, and the outcomes of its patches in log order. */
export interface ApplyRecordsResult {
  readonly state: ConfigurationState
  readonly outcomes: readonly PatchOutcome[]
}

const MAX_REASON_CHARS = 300

interface ApplyProgress {
  state: ConfigurationState
  readonly knownOutcomes: Map<string, PatchOutcome>
  readonly outcomes: PatchOutcome[]
}

/** Returns a hash that shows whether a record read again is unchanged. */
export function hashRecord(value: unknown): string {
  return hash64(JSON.stringify([value]))
}

interface PatchDecision {
  readonly outcome: PatchOutcome
  readonly configuration?: Configuration
}

function decidePatch(
  state: ConfigurationState,
  record: PatchRecord,
  offset: number,
): PatchDecision {
  const { version, schema } = state
  const base = { patchId: record.patchId, offset, version }
  const invalid = (reason: string): PatchDecision => ({
    outcome: {
      ...base,
      kind: PatchOutcomeKind.Invalid,
      reason: reason.slice(0, MAX_REASON_CHARS),
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
  const denied = checkChange(configuration, patched.value, record.operator)
  if (denied !== undefined) return invalid(denied)
  const kind = PatchOutcomeKind.Applied
  const outcome = { ...base, kind, version: version + 1 }
  return { outcome, configuration: patched.value }
}

function applyPatchRecord(
  progress: ApplyProgress,
  record: PatchRecord,
  offset: number,
): void {
  const known = progress.knownOutcomes.get(record.patchId)
  if (known) {
    const kind = PatchOutcomeKind.Duplicate
    progress.outcomes.push({ ...known, kind, offset })
    return
  }
  const { outcome, configuration } = decidePatch(progress.state, record, offset)
  progress.knownOutcomes.set(record.patchId, outcome)
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

// Counted in log offsets, so that every router drops the same outcomes.
function dropOldOutcomes(progress: ApplyProgress, offset: number): void {
  for (const [patchId, outcome] of progress.knownOutcomes) {
    if (outcome.offset > offset - OUTCOME_WINDOW_RECORDS) return
    progress.knownOutcomes.delete(patchId)
  }
}

function applyRecord(
  progress: ApplyProgress,
  record: ConfigurationLogRecord,
): void {
  const { offset, value } = record
  dropOldOutcomes(progress, offset)
  const patch = patchRecordSchema.safeParse(value)
  const schemaRecord = schemaRecordSchema.safeParse(value)
  if (patch.success) applyPatchRecord(progress, patch.data, offset)
  else if (schemaRecord.success) {
    const schema = Math.max(progress.state.schema, schemaRecord.data.schema)
    progress.state = { ...progress.state, schema }
  }
  progress.state = {
    ...progress.state,
    nextOffset: offset + 1,
    lastRecord: { offset, hash: hashRecord(value) },
  }
}

/** Applies records in log order; stops before one with an unsupported schema. */
export function applyRecords(
  state: ConfigurationState,
  records: readonly ConfigurationLogRecord[],
): ApplyRecordsResult {
  const progress: ApplyProgress = {
    state,
    knownOutcomes: new Map(state.outcomes),
    outcomes: [],
  }
  for (const record of records) {
    const schema = requiredSchema(record.value) ?? 0
    if (schema > CONFIGURATION_SCHEMA) {
      const kind = ConfigurationProblemKind.NewerSchema
      const message = `the record at offset ${record.offset} has schema ${schema}, but this release knows ${CONFIGURATION_SCHEMA}; upgrade this router`
      progress.state = { ...progress.state, problem: { kind, message } }
      break
    }
    applyRecord(progress, record)
  }
  return {
    state: { ...progress.state, outcomes: progress.knownOutcomes },
    outcomes: progress.outcomes,
  }
}
