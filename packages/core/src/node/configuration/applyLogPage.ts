import {
  applyRecords,
  type ApplyRecordsResult,
  hashRecord,
  type ConfigurationLogRecord,
} from './applyRecords.js'
import { ConfigurationProblemKind } from './configurationProblem.js'
import type { ConfigurationState } from './configurationState.js'

/** One page of records read from the configuration stream. */
export interface ConfigurationPage {
  readonly logId: string
  /** Offset of the oldest retained record. */
  readonly firstOffset: number
  /** Offset that the next appended record will get. */
  readonly nextOffset: number
  readonly records: readonly ConfigurationLogRecord[]
}

/**
 * Returns the offset to read from. The last applied record is read again, so
 * that a rewritten log is detected.
 */
export function nextReadOffset(state: ConfigurationState): number {
  return state.lastRecord?.offset ?? state.nextOffset
}

function keepVersion(
  state: ConfigurationState,
  kind: ConfigurationProblemKind,
  message: string,
): ApplyRecordsResult {
  return { state: { ...state, problem: { kind, message } }, outcomes: [] }
}

function findLogProblem(
  state: ConfigurationState,
  page: ConfigurationPage,
): ApplyRecordsResult | undefined {
  const { version, nextOffset, logId, lastRecord } = state
  if (logId !== undefined && logId !== page.logId)
    return keepVersion(
      state,
      ConfigurationProblemKind.LogReplaced,
      `the log is ${page.logId} instead of ${logId}; version ${version} stays in force`,
    )
  if (page.nextOffset < nextOffset)
    return keepVersion(
      state,
      ConfigurationProblemKind.LogShortened,
      `the log ends at offset ${page.nextOffset}, but offset ${nextOffset - 1} was read; version ${version} stays in force`,
    )
  if (page.firstOffset > nextOffset)
    return keepVersion(
      state,
      ConfigurationProblemKind.RecordsMissing,
      `the log starts at offset ${page.firstOffset}, but offset ${nextOffset} is needed; version ${version} stays in force`,
    )
  const reread = page.records.find(
    ({ offset }) => offset === lastRecord?.offset,
  )
  if (reread && hashRecord(reread.value) !== lastRecord?.hash)
    return keepVersion(
      state,
      ConfigurationProblemKind.LogRewritten,
      `the log has another record at offset ${reread.offset} than was read; version ${version} stays in force`,
    )
  return undefined
}

function contiguousRecords(
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

/**
 * Applies a page of the log. If the page contradicts what was read before, the
 * state keeps its version and gets a `problem`.
 */
export function applyLogPage(
  state: ConfigurationState,
  page: ConfigurationPage,
): ApplyRecordsResult {
  const rejected = findLogProblem(state, page)
  if (rejected) return rejected
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
  // The problem clears only after the last record was compared again.
  if (wasRewritten && page.firstOffset > (lastRecord?.offset ?? 0))
    return { state, outcomes: [] }
  const records = contiguousRecords(page.records, state.nextOffset)
  return applyRecords({ ...healthy, logId: page.logId }, records)
}
