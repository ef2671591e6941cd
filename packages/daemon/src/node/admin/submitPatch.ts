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

/** What is known about a submitted patch. */
export enum SubmissionKind {
  /** Read back from the log, which determined the outcome. */
  Decided = 'decided',
  /** Not on the log, and will not be. */
  NotAppended = 'not-appended',
  /** May be on the log, now or later. */
  Unknown = 'unknown',
}

/** Result of {@link submitPatch}. */
export type Submission =
  | { readonly kind: SubmissionKind.Decided; readonly outcome: PatchOutcome }
  | {
      readonly kind: SubmissionKind.NotAppended | SubmissionKind.Unknown
      readonly message: string
    }

function createUnknown(record: PatchRecord, reason: string): Submission {
  const message = `${reason}; ask for GET /config/patches/${record.patchId}`
  return { kind: SubmissionKind.Unknown, message }
}

/** Waits for a patch's outcome; undefined after {@link PATCH_CONFIRMATION_TIMEOUT_MS}. */
async function waitForOutcome(
  tailer: ConfigurationTailer,
  patchId: string,
): Promise<PatchOutcome | undefined> {
  const deadline = performance.now() + PATCH_CONFIRMATION_TIMEOUT_MS
  while (performance.now() < deadline) {
    const outcome = tailer.state.outcomes.get(patchId)
    if (outcome) return outcome
    await tailer.refresh()
    await sleep(PATCH_CONFIRMATION_POLL_MS)
  }
  return undefined
}

/** Appends a patch to the log and waits until this router has read it back. */
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
  const outcome = await waitForOutcome(tailer, record.patchId)
  if (outcome) return { kind: SubmissionKind.Decided, outcome }
  if (appended.isErr())
    return createUnknown(
      record,
      `the log may hold it: ${appended.error.message}`,
    )
  const { nextOffset } = tailer.state
  const reason = `the log holds it at offset ${appended.value}, but this router has read up to offset ${nextOffset}`
  return createUnknown(record, reason)
}
