import { applyOperations } from '../patches/applyOperations.js'
import { checkChange } from '../teams/checkChange.js'
import {
  type Configuration,
  configurationSchema,
} from './configurationSchema.js'
import { type PatchOutcome, PatchOutcomeKind } from './patchOutcome.js'
import { type PatchRecord, patchRecordSchema } from './patchRecord.js'

/** The configuration in force and what led to it. */
export interface ConfigurationState {
  readonly version: number
  readonly configuration: Configuration
  /** The log offset that is read next. */
  readonly nextOffset: number
  /** Outcomes by patch id. */
  readonly outcomes: ReadonlyMap<string, PatchOutcome>
}

/** A state and the outcome of the record that led to it. */
export interface ConfigurationStep {
  readonly state: ConfigurationState
  readonly outcome?: PatchOutcome
}

/** Returns the state before any record was read. */
export function createConfigurationState(): ConfigurationState {
  return {
    version: 0,
    configuration: configurationSchema.parse({}),
    nextOffset: 0,
    outcomes: new Map(),
  }
}

function decide(
  state: ConfigurationState,
  record: PatchRecord,
  offset: number,
): { outcome: PatchOutcome; configuration?: Configuration } {
  const base = { patchId: record.patchId, offset, version: state.version }
  if (record.baseVersion !== state.version) {
    const reason = `the patch is against version ${record.baseVersion}, but version ${state.version} is in force`
    return { outcome: { ...base, kind: PatchOutcomeKind.Conflict, reason } }
  }
  const patched = applyOperations(state.configuration, record.operations)
  if (patched.isErr()) {
    const reason = patched.error
    return { outcome: { ...base, kind: PatchOutcomeKind.Invalid, reason } }
  }
  const parsed = configurationSchema.safeParse(patched.value)
  if (!parsed.success) {
    const reason = parsed.error.issues
      .map((issue) => `/${issue.path.join('/')}: ${issue.message}`)
      .join('; ')
    return { outcome: { ...base, kind: PatchOutcomeKind.Invalid, reason } }
  }
  const refused = checkChange(state.configuration, parsed.data, record.operator)
  if (refused !== undefined)
    return {
      outcome: { ...base, kind: PatchOutcomeKind.Invalid, reason: refused },
    }
  return {
    outcome: {
      ...base,
      kind: PatchOutcomeKind.Applied,
      version: state.version + 1,
    },
    configuration: parsed.data,
  }
}

/** Applies the log record at `offset`; log order alone decides the outcome. */
export function applyConfigurationRecord(
  state: ConfigurationState,
  value: unknown,
  offset: number,
): ConfigurationStep {
  const next = { ...state, nextOffset: offset + 1 }
  const parsed = patchRecordSchema.safeParse(value)
  if (!parsed.success) return { state: next }
  const record = parsed.data
  const first = state.outcomes.get(record.patchId)
  if (first) {
    const outcome = { ...first, kind: PatchOutcomeKind.Duplicate, offset }
    return { state: next, outcome }
  }
  const { outcome, configuration } = decide(state, record, offset)
  const outcomes = new Map(state.outcomes).set(record.patchId, outcome)
  return {
    state: {
      ...next,
      outcomes,
      version: outcome.version,
      configuration: configuration ?? state.configuration,
    },
    outcome,
  }
}
