import { Verdict } from '@auburnbay/core'
import {
  type EngineRun,
  type PlainCall,
  streamText,
} from '@auburnbay/stand-ins'
import type { CallOutcome } from './callOutcome.js'
import { CallKind } from './schedule.js'
import { MARKER_HEADER } from './sendCall.js'

/** What truly ran, from the targets' own records. */
export interface ExecutionRecord {
  readonly runs: readonly EngineRun[]
  readonly calls: readonly PlainCall[]
}

/** One statement to a caller that the record does not bear out. */
export interface Contradiction {
  readonly marker: string
  readonly reason: string
}

const FIRST_ERROR_STATUS = 400

function ranByMarker(record: ExecutionRecord, marker: string): number {
  const runs = record.runs.filter(({ chat }) => chat === marker)
  const calls = record.calls.filter(
    ({ headers }) => headers[MARKER_HEADER] === marker,
  )
  return runs.length + calls.length
}

function ranByKey(record: ExecutionRecord, key: string): number {
  return record.calls.filter(({ idempotencyKey }) => idempotencyKey === key)
    .length
}

function isPartOfOwnStream(
  record: ExecutionRecord,
  told: CallOutcome,
): boolean {
  const { marker, text, whole } = told
  for (const run of record.runs) {
    if (run.chat !== marker) continue
    const expected = streamText(run)
    if (whole ? text === expected : expected.startsWith(text)) return true
  }
  return false
}

function isOwnChat(record: ExecutionRecord, told: CallOutcome): boolean {
  for (const run of record.runs) {
    if (run.chat !== told.marker) continue
    const message = { role: 'assistant', content: run.words.join('') }
    const reply = { id: run.runId, choices: [{ index: 0, message }] }
    const expected = JSON.stringify(reply)
    if (told.whole ? told.text === expected : expected.startsWith(told.text))
      return true
  }
  return false
}

function isOwnEcho(told: CallOutcome): boolean {
  const notice = told.idempotencyKey ?? told.marker
  const end = `"echo":${JSON.stringify({ notice })}}`
  return !told.whole || told.text.endsWith(end)
}

function isOwnAnswer(record: ExecutionRecord, told: CallOutcome): boolean {
  switch (told.kind) {
    case CallKind.Stream:
      return isPartOfOwnStream(record, told)
    case CallKind.WholeChat:
      return isOwnChat(record, told)
    case CallKind.IdempotentCall:
    case CallKind.UnrepeatableCall:
    case CallKind.KeyedCall:
      return isOwnEcho(told)
  }
}

function reasonAgainst(
  record: ExecutionRecord,
  told: CallOutcome,
): string | undefined {
  const { kind, marker, idempotencyKey, status, verdict } = told
  const ran = ranByMarker(record, marker)
  if (verdict === Verdict.NotRun && ran > 0) return 'told not run, but it ran'
  if (kind === CallKind.UnrepeatableCall && ran > 1) return 'ran twice'
  if (idempotencyKey !== undefined) {
    const ranForKey = ranByKey(record, idempotencyKey)
    if (ranForKey > 1) return 'ran twice for one key'
    if (verdict === Verdict.Ran && ranForKey === 0)
      return 'told ran, but no request with the key ran'
  } else if (verdict === Verdict.Ran && ran === 0)
    return 'told ran, but it did not run'
  const answered = status > 0 && status < FIRST_ERROR_STATUS
  if (answered && !isOwnAnswer(record, told))
    return 'got an answer that is not its own, whole one'
  return undefined
}

/** Holds what callers were told against what truly ran. */
export function findContradictions(
  record: ExecutionRecord,
  outcomes: readonly CallOutcome[],
): Contradiction[] {
  const found: Contradiction[] = []
  for (const told of outcomes) {
    const reason = reasonAgainst(record, told)
    if (reason !== undefined) found.push({ marker: told.marker, reason })
  }
  return found
}
