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
import { createRecordHistory } from './recordHistory.js'

/** Holds the version in force; it never goes back. */
export interface ConfigurationStore {
  readonly state: ConfigurationState
  /** Applies a page of the log or of a peer. */
  applyPage(page: ConfigurationPage): void
  /** Takes over a snapshot, unless it would lead back. */
  applySnapshot(value: unknown): void
  /** Returns what a router that is behind needs; undefined without a log. */
  createTransfer(
    since: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
}

/** Creates a store that starts without a version. */
export function createConfigurationStore(
  logger: ConsolaInstance,
  metrics: Metrics,
): ConfigurationStore {
  let state = createConfigurationState()
  const history = createRecordHistory()

  function report(before: ConfigurationState): void {
    if (state.version !== before.version)
      logger.info(`Version ${state.version} is in force.`)
    metrics.gauge('configuration.version', state.version)
    const { problem } = state
    metrics.gauge('configuration.problem', problem ? 1 : 0)
    if (problem && problem.kind !== before.problem?.kind) {
      logger.error(`Not following the log: ${problem.message}.`)
      metrics.count('configuration.problems', 1, { kind: problem.kind })
    }
    if (!problem && before.problem) logger.info('Following the log again.')
  }

  function apply(page: ConfigurationPage): void {
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
    report(before)
  }

  function adopt(value: unknown): void {
    const before = state
    const adopted = restoreSnapshot(before, value)
    if (adopted.isErr()) {
      logger.warn(`Refused a snapshot: ${adopted.error.message}.`)
      const { kind } = adopted.error
      metrics.count('configuration.snapshots_refused', 1, { kind })
      return
    }
    state = adopted.value
    history.clear()
    logger.info(`Took version ${state.version} over from a snapshot.`)
    report(before)
  }

  function transfer(
    since: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined {
    const { logId, nextOffset } = state
    if (logId === undefined) return undefined
    const isSameLog = since.logId === undefined || since.logId === logId
    const records = isSameLog ? history.recordsFrom(since.from) : undefined
    if (records) return { logId, nextOffset, records }
    return { logId, nextOffset, snapshot: createSnapshot(state) }
  }

  return {
    get state() {
      return state
    },
    applyPage: apply,
    applySnapshot: adopt,
    createTransfer: transfer,
  }
}
