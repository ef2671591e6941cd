import { applyRecords } from './applyRecords.js'
import type { ConfigurationState } from './configurationState.js'
import type { PatchOutcome } from './patchOutcome.js'

/** State after one log record, and the outcome if the record was a patch. */
export interface ApplyRecordResult {
  readonly state: ConfigurationState
  readonly outcome?: PatchOutcome
}

/**
 * Applies the log record at `offset`. The result depends only on the records
 * and their order, so every router reaches the same state.
 */
export function applyConfigurationRecord(
  state: ConfigurationState,
  value: unknown,
  offset: number,
): ApplyRecordResult {
  const result = applyRecords(state, [{ offset, value }])
  return { state: result.state, outcome: result.outcomes[0] }
}
