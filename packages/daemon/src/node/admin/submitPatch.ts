import { performance } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  CONFIGURATION_STREAM,
  type PatchOutcome,
  type PatchRecord,
} from '@auburnbay/core'
import {
  PATCH_CONFIRMATION_POLL_MS,
  PATCH_CONFIRMATION_TIMEOUT_MS,
} from '../constants.js'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'

/** What is known of a submitted patch. */
export enum SubmissionKind {
  /** Read back from the log, whose order decided. */
  Decided = 'decided',
  /** Certainly not on the log. */
  NotAppended = 'not-appended',
  /** May be on the log, now or later. */
  Unknown = 'unknown',
}

/** The answer to a submitted patch. */
export type Submission =
  | { readonly kind: SubmissionKind.Decided; readonly outcome: PatchOutcome }
  | {
      readonly kind: SubmissionKind.NotAppended | SubmissionKind.Unknown
      readonly message: string
    }

function unknown(record: PatchRecord, why: string): Submission {
  const message = `${why}; ask for GET /config/patches/${record.patchId}`
  return { kind: SubmissionKind.Unknown, message }
}

/** Waits until the log's order has decided a patch. */
async function readBack(
  tailer: ConfigurationTailer,
  patchId: string,
): Promise<PatchOutcome | undefined> {
  const end = performance.now() + PATCH_CONFIRMATION_TIMEOUT_MS
  while (performance.now() < end) {
    const outcome = tailer.state.outcomes.get(patchId)
    if (outcome) return outcome
    await tailer.refresh()
    await sleep(PATCH_CONFIRMATION_POLL_MS)
  }
  return undefined
}

/** Appends a patch and waits until it is read back. */
export async function submitPatch(
  log: LogClient,
  tailer: ConfigurationTailer,
  record: PatchRecord,
): Promise<Submission> {
  const known = tailer.state.outcomes.get(record.patchId)
  if (known) return { kind: SubmissionKind.Decided, outcome: known }
  const { problem } = tailer.state
  if (problem) {
    const message = `this router does not follow the log: ${problem.message}`
    return { kind: SubmissionKind.NotAppended, message }
  }
  const appended = await log.append(CONFIGURATION_STREAM, [record])
  if (appended.isErr() && !appended.error.mayHaveTakenEffect) {
    const message = `the log took nothing: ${appended.error.message}`
    return { kind: SubmissionKind.NotAppended, message }
  }
  const outcome = await readBack(tailer, record.patchId)
  if (outcome) return { kind: SubmissionKind.Decided, outcome }
  if (appended.isErr())
    return unknown(record, `the log may hold it: ${appended.error.message}`)
  const { nextOffset } = tailer.state
  const why = `the log holds it at offset ${appended.value}, but this router has read up to offset ${nextOffset}`
  return unknown(record, why)
}
