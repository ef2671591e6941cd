import {
  restoreSnapshot,
  applyLogPage,
  type ConfigurationPage,
  type ConfigurationState,
  createConfigurationState,
  createSnapshot,
  PatchOutcomeKind,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { Metrics } from '../metrics/metrics.js'
import type {
  ConfigurationTransferRequest,
  ConfigurationTransfer,
} from './configurationTransfer.js'
import { createRecordHistory } from './createRecordHistory.js'

/** Holds the current configuration; its version never decreases. */
export interface ConfigurationStore {
  readonly state: ConfigurationState
  /** Applies a page of records read from the log or from a peer. */
  applyPage(page: ConfigurationPage): void
  /**
   * Replaces the state by a snapshot, unless the snapshot is invalid or older.
   */
  applySnapshot(value: unknown): void
  /**
   * Returns the records or the snapshot that a router needs to catch up;
   * undefined until a log is known.
   */
  createTransfer(
    request: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
}

/** Creates a store at version 0, before any record. */
export function createConfigurationStore(
  logger: ConsolaInstance,
  metrics: Metrics,
): ConfigurationStore {
  let state = createConfigurationState()
  const history = createRecordHistory()

  function reportChange(before: ConfigurationState): void {
    if (state.version !== before.version)
      logger.info(`Version ${state.version} is in force.`)
    metrics.gauge('configuration.version', state.version)
    const { problem } = state
    metrics.gauge('configuration.problem', problem ? 1 : 0)
    if (problem && problem.kind !== before.problem?.kind) {
      logger.error(`Stopped following the log: ${problem.message}.`)
      metrics.count('configuration.problems', 1, { kind: problem.kind })
    }
    if (!problem && before.problem) logger.info('Resumed following the log.')
  }

  function applyPage(page: ConfigurationPage): void {
    const before = state
    const step = applyLogPage(before, page)
    state = step.state
    history.add(
      page.records.filter(
        ({ offset }) =>
          offset >= before.nextOffset && offset < state.nextOffset,
      ),
    )
    for (const { kind } of step.outcomes)
      if (kind !== PatchOutcomeKind.Applied)
        metrics.count('configuration.patches', 1, { kind })
    reportChange(before)
  }

  function applySnapshot(value: unknown): void {
    const before = state
    const restored = restoreSnapshot(before, value)
    if (restored.isErr()) {
      logger.warn(`Rejected a snapshot: ${restored.error.message}.`)
      const { kind } = restored.error
      metrics.count('configuration.snapshots_refused', 1, { kind })
      return
    }
    state = restored.value
    history.clear()
    logger.info(`Restored version ${state.version} from a snapshot.`)
    reportChange(before)
  }

  function createTransfer(
    request: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined {
    const { logId, nextOffset } = state
    if (logId === undefined) return undefined
    const isSameLog = request.logId === undefined || request.logId === logId
    const records = isSameLog ? history.recordsFrom(request.from) : undefined
    if (records) return { logId, nextOffset, records }
    return { logId, nextOffset, snapshot: createSnapshot(state) }
  }

  return {
    get state() {
      return state
    },
    applyPage,
    applySnapshot,
    createTransfer,
  }
}
