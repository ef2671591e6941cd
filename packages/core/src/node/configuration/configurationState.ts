import type { ConfigurationProblem } from './configurationProblem.js'
import {
  type Configuration,
  configurationSchema,
} from './configurationSchema.js'
import type { PatchOutcome } from './patchOutcome.js'

/** Identifies the last record that a router has read. */
export interface RecordMark {
  readonly offset: number
  readonly hash: string
}

/** The configuration in force and what led to it. */
export interface ConfigurationState {
  readonly version: number
  readonly configuration: Configuration
  /** Hash over all patches that led to the version. */
  readonly digest: string
  /** The log offset that is read next. */
  readonly nextOffset: number
  /** Outcomes of the newest patches, by patch id. */
  readonly outcomes: ReadonlyMap<string, PatchOutcome>
  /** Lowest schema version of a valid patch. */
  readonly schema: number
  /** Identity of the log that the records came from. */
  readonly logId?: string
  readonly lastRecord?: RecordMark
  /** Set while the router keeps its version for a fault. */
  readonly problem?: ConfigurationProblem
}

/** Returns the state before any record was read. */
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
