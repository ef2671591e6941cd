import {
  CONFIGURATION_STREAM,
  type PatchOutcome,
  PatchOutcomeKind,
  patchRecordSchema,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient, LogError, LogRecord } from '../logService/logClient.js'

/** An applied patch with its author. */
export interface HistoryEntry {
  readonly version: number
  readonly offset: number
  /** Milliseconds since the epoch. */
  readonly atMs: number
  readonly author: string
  /** Id of the operator; absent for the bootstrap owner. */
  readonly operator?: string
  readonly patchId: string
  readonly operations: readonly { readonly path: string }[]
}

/** Applied patches that the log still holds, oldest first. */
export interface ConfigurationHistory {
  readonly entries: readonly HistoryEntry[]
  /** Whether no version after the requested one is missing. */
  readonly complete: boolean
}

function toEntry(
  record: LogRecord,
  outcomes: ReadonlyMap<number, PatchOutcome>,
): HistoryEntry | undefined {
  const outcome = outcomes.get(record.offset)
  const parsed = patchRecordSchema.safeParse(record.value)
  if (!outcome || !parsed.success) return undefined
  const { author, operator, patchId, operations } = parsed.data
  const { offset, atMs } = record
  const { version } = outcome
  return { version, offset, atMs, author, operator, patchId, operations }
}

function findAppliedAfter(
  tailer: ConfigurationTailer,
  version: number,
): Map<number, PatchOutcome> {
  const applied = new Map<number, PatchOutcome>()
  for (const outcome of tailer.state.outcomes.values()) {
    if (outcome.kind !== PatchOutcomeKind.Applied) continue
    if (outcome.version > version) applied.set(outcome.offset, outcome)
  }
  return applied
}

/** Reads the patches applied after `version` from the log. */
export async function readHistory(
  log: LogClient,
  tailer: ConfigurationTailer,
  version: number,
): Promise<Result<ConfigurationHistory, LogError>> {
  const { state } = tailer
  const applied = findAppliedAfter(tailer, version)
  const entries: HistoryEntry[] = []
  let offset = Math.min(...applied.keys(), state.nextOffset)
  while (offset < state.nextOffset) {
    const page = await log.read(CONFIGURATION_STREAM, offset)
    if (page.isErr()) return err(page.error)
    for (const record of page.value.records) {
      const entry = toEntry(record, applied)
      if (entry) entries.push(entry)
    }
    const last = page.value.records.at(-1)
    if (!last) break
    offset = last.offset + 1
  }
  const complete = entries.length === state.version - version
  return ok({ entries, complete })
}
