import { Verdict } from '@auburnbay/core'
import {
  type EngineRun,
  type PlainCall,
  streamText,
} from '@auburnbay/stand-ins'
import type { CallOutcome } from './callOutcome.js'
import { CallKind } from './schedule.js'
import { MARKER_HEADER } from './sendCall.js'

/** Requests that ran, from the targets' own records. */
export interface ExecutionRecord {
  readonly runs: readonly EngineRun[]
  readonly calls: readonly PlainCall[]
}

/** A response that contradicts the record of what ran. */
export interface Contradiction {
  readonly marker: string
  readonly reason: string
}

const FIRST_ERROR_STATUS = 400

function countByMarker(record: ExecutionRecord, marker: string): number {
  const runs = record.runs.filter(({ chat }) => chat === marker)
  const calls = record.calls.filter(
    ({ headers }) => headers[MARKER_HEADER] === marker,
  )
  return runs.length + calls.length
}

function countByKey(record: ExecutionRecord, key: string): number {
  return record.calls.filter(({ idempotencyKey }) => idempotencyKey === key)
    .length
}

function matchesStream(record: ExecutionRecord, outcome: CallOutcome): boolean {
  const { marker, text, complete } = outcome
  for (const run of record.runs) {
    if (run.chat !== marker) continue
    const expected = streamText(run)
    if (complete ? text === expected : expected.startsWith(text)) return true
  }
  return false
}

function matchesCompletion(
  record: ExecutionRecord,
  outcome: CallOutcome,
): boolean {
  for (const run of record.runs) {
    if (run.chat !== outcome.marker) continue
    const message = { role: 'assistant', content: run.words.join('') }
    const completion = { id: run.runId, choices: [{ index: 0, message }] }
    const expected = JSON.stringify(completion)
    if (
      outcome.complete
        ? outcome.text === expected
        : expected.startsWith(outcome.text)
    )
      return true
  }
  return false
}

function matchesEcho(outcome: CallOutcome): boolean {
  const notice = outcome.idempotencyKey ?? outcome.marker
  const ending = `"echo":${JSON.stringify({ notice })}}`
  return !outcome.complete || outcome.text.endsWith(ending)
}

function matchesExecution(
  record: ExecutionRecord,
  outcome: CallOutcome,
): boolean {
  switch (outcome.kind) {
    case CallKind.StreamedChat:
      return matchesStream(record, outcome)
    case CallKind.NonStreamedChat:
      return matchesCompletion(record, outcome)
    case CallKind.IdempotentCall:
    case CallKind.NonIdempotentCall:
    case CallKind.KeyedCall:
      return matchesEcho(outcome)
  }
}

function findReason(
  record: ExecutionRecord,
  outcome: CallOutcome,
): string | undefined {
  const { kind, marker, idempotencyKey, status, verdict } = outcome
  const ran = countByMarker(record, marker)
  if (verdict === Verdict.NotRun && ran > 0)
    return 'verdict not-run, but the request ran'
  if (kind === CallKind.NonIdempotentCall && ran > 1)
    return 'non-idempotent request ran more than once'
  if (idempotencyKey !== undefined) {
    const ranForKey = countByKey(record, idempotencyKey)
    if (ranForKey > 1) return 'ran more than once for one idempotency key'
    if (verdict === Verdict.Ran && ranForKey === 0)
      return 'verdict ran, but no request with the idempotency key ran'
  } else if (verdict === Verdict.Ran && ran === 0)
    return 'verdict ran, but the request did not run'
  const succeeded = status > 0 && status < FIRST_ERROR_STATUS
  if (succeeded && !matchesExecution(record, outcome))
    return 'response does not match the execution of the request'
  return undefined
}

/** Returns the outcomes that contradict the record of what ran. */
export function findContradictions(
  record: ExecutionRecord,
  outcomes: readonly CallOutcome[],
): Contradiction[] {
  const contradictions: Contradiction[] = []
  for (const outcome of outcomes) {
    const reason = findReason(record, outcome)
    if (reason !== undefined)
      contradictions.push({ marker: outcome.marker, reason })
  }
  return contradictions
}
