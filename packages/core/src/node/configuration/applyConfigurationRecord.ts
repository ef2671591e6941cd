import { applyRecords } from './applyRecords.js'
import type { ConfigurationState } from './configurationState.js'
import type { PatchOutcome } from './patchOutcome.js'

/** A state and the outcome of the record that led to it. */
export interface RecordStep {
  readonly state: ConfigurationState
  readonly outcome?: PatchOutcome
}

/** Applies the log record at `offset`; log order alone decides the outcome. */
export function applyConfigurationRecord(
  state: ConfigurationState,
  value: unknown,
  offset: number,
): RecordStep {
  const step = applyRecords(state, [{ offset, value }])
  return { state: step.state, outcome: step.outcomes[0] }
}
