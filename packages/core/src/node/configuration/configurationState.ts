import type { ConfigurationProblem } from './configurationProblem.js'
import {
  type Configuration,
  configurationSchema,
} from './configurationSchema.js'
import type { PatchOutcome } from './patchOutcome.js'

/** Offset and hash of a record, to detect that it was rewritten. */
export interface RecordFingerprint {
  readonly offset: number
  readonly hash: string
}

/** Current configuration and the position in the log that it was built from. */
export interface ConfigurationState {
  readonly version: number
  readonly configuration: Configuration
  /** Hash chain over all applied patches. */
  readonly digest: string
  /** Offset of the next record to apply. */
  readonly nextOffset: number
  /** Outcomes of recent patches by patch id, to detect duplicates. */
  readonly outcomes: ReadonlyMap<string, PatchOutcome>
  /** Lowest schema version that a patch may have. */
  readonly schema: number
  /** Id of the log that the records were read from. */
  readonly logId?: string
  readonly lastRecord?: RecordFingerprint
  /** Set while the router keeps its version because of a problem. */
  readonly problem?: ConfigurationProblem
}

/** Creates the initial state: version 0 with an empty configuration. */
export function createConfigurationState(): ConfigurationState {
  return {
    version: 0,
    configuration: configurationSchema.parse({}),
    digest: '0',
    nextOffset: 0,
    outcomes: new Map(),
    schema: 1,
  }
}
