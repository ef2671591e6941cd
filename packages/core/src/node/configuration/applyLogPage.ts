import {
  applyRecords,
  type ConfigurationStep,
  hashRecord,
  type ConfigurationLogRecord,
} from './applyRecords.js'
import { ConfigurationProblemKind } from './configurationProblem.js'
import type { ConfigurationState } from './configurationState.js'

/** Records of one read of the configuration stream. */
export interface ConfigurationPage {
  readonly logId: string
  /** Offset of the oldest record that the log keeps. */
  readonly firstOffset: number
  /** Offset of the next append. */
  readonly nextOffset: number
  readonly records: readonly ConfigurationLogRecord[]
}

/**
 * Returns the offset to read from.
 *
 * The last record read is read again, to notice a log that was rewritten.
 */
export function nextReadOffset(state: ConfigurationState): number {
  return state.lastRecord?.offset ?? state.nextOffset
}

function keep(
  state: ConfigurationState,
  kind: ConfigurationProblemKind,
  message: string,
): ConfigurationStep {
  return { state: { ...state, problem: { kind, message } }, outcomes: [] }
}

function findFault(
  state: ConfigurationState,
  page: ConfigurationPage,
): ConfigurationStep | undefined {
  const { version, nextOffset, logId, lastRecord } = state
  if (logId !== undefined && logId !== page.logId)
    return keep(
      state,
      ConfigurationProblemKind.LogReplaced,
      `the log is ${page.logId} instead of ${logId}; version ${version} stays in force`,
    )
  if (page.nextOffset < nextOffset)
    return keep(
      state,
      ConfigurationProblemKind.LogShortened,
      `the log ends at offset ${page.nextOffset}, but offset ${nextOffset - 1} was read; version ${version} stays in force`,
    )
  if (page.firstOffset > nextOffset)
    return keep(
      state,
      ConfigurationProblemKind.RecordsMissing,
      `the log starts at offset ${page.firstOffset}, but offset ${nextOffset} is needed; version ${version} stays in force`,
    )
  const again = page.records.find(({ offset }) => offset === lastRecord?.offset)
  if (again && hashRecord(again.value) !== lastRecord?.hash)
    return keep(
      state,
      ConfigurationProblemKind.LogRewritten,
      `the log has another record at offset ${again.offset} than was read; version ${version} stays in force`,
    )
  return undefined
}

function contiguous(
  records: readonly ConfigurationLogRecord[],
  from: number,
): ConfigurationLogRecord[] {
  const found: ConfigurationLogRecord[] = []
  for (const record of records) {
    if (record.offset < from) continue
    if (record.offset !== from + found.length) break
    found.push(record)
  }
  return found
}

/** Applies a page of the log, or keeps the version and says what is wrong. */
export function applyLogPage(
  state: ConfigurationState,
  page: ConfigurationPage,
): ConfigurationStep {
  const fault = findFault(state, page)
  if (fault) return fault
  const { problem, ...healthy } = state
  const { lastRecord } = state
  const isVerified =
    lastRecord === undefined ||
    page.firstOffset > lastRecord.offset ||
    page.records.some(({ offset }) => offset === lastRecord.offset)
  if (!isVerified) return { state, outcomes: [] }
  const wasRewritten =
    problem?.kind === ConfigurationProblemKind.LogShortened ||
    problem?.kind === ConfigurationProblemKind.LogRewritten
  // Without the last record nothing shows that the log is the same again.
  if (wasRewritten && page.firstOffset > (lastRecord?.offset ?? 0))
    return { state, outcomes: [] }
  const records = contiguous(page.records, state.nextOffset)
  return applyRecords({ ...healthy, logId: page.logId }, records)
}
