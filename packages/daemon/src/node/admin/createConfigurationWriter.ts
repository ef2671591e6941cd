import { randomUUID } from 'node:crypto'
import {
  type Actor,
  applyConfigurationRecord,
  applyOperations,
  authorizeChange,
  type Configuration,
  CONFIGURATION_SCHEMA,
  configurationSchema,
  checkRebase,
  type PatchOutcome,
  PatchOutcomeKind,
  type PatchRecord,
  redactOperations,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { LogClient } from '../logService/logClient.js'
import { AdminErrorCode } from './adminErrorCode.js'
import { createErrorResponse } from './adminResponses.js'
import type { AdminResponse } from './adminRoute.js'
import { type HistoryEntry, readHistory } from './readHistory.js'
import { SubmissionKind, submitPatch } from './submitPatch.js'

/** A configuration change requested by an operator. */
export interface ChangeRequest {
  /** @default a random id */
  readonly patchId?: string
  readonly baseVersion: number
  /** Author in the history; used only for the bootstrap owner. @default "admin" */
  readonly author?: string
  readonly operations: PatchRecord['operations']
}

/** Validates operators' changes and appends them to the log. */
export interface ConfigurationWriter {
  /** Evaluates a change against the active version without submitting it. */
  validate(actor: Actor, change: ChangeRequest): PatchOutcome
  /** Submits a change; the error is the response to the operator. */
  submit(
    actor: Actor,
    change: ChangeRequest,
  ): Promise<Result<PatchOutcome, AdminResponse>>
  /** Submits operations computed from the active version; retries on conflict. */
  update(
    actor: Actor,
    operations: (cfg: Configuration) => PatchRecord['operations'],
  ): Promise<Result<PatchOutcome, AdminResponse>>
}

/** Submissions per update, including the first one. */
const MAX_UPDATE_ATTEMPTS = 5

function toRecord(actor: Actor, change: ChangeRequest): PatchRecord {
  return {
    type: 'patch',
    schema: CONFIGURATION_SCHEMA,
    patchId: change.patchId ?? randomUUID(),
    baseVersion: change.baseVersion,
    author: actor.team === undefined ? (change.author ?? actor.id) : actor.id,
    ...(actor.team === undefined ? {} : { operator: actor.id }),
    operations: change.operations,
  }
}

function describeEntry(entry: HistoryEntry) {
  const { version, author, atMs, operations } = entry
  return { version, author, atMs, operations: redactOperations(operations) }
}

/** Creates the configuration writer of a router. */
export function createConfigurationWriter(
  log: LogClient,
  tailer: ConfigurationTailer,
): ConfigurationWriter {
  function dryRun(record: PatchRecord): PatchOutcome {
    const { state } = tailer
    const step = applyConfigurationRecord(state, record, state.nextOffset)
    if (step.outcome) return step.outcome
    const reason = 'the record does not have the form of a patch'
    const { version, nextOffset: offset } = state
    const { patchId } = record
    return { kind: PatchOutcomeKind.Invalid, patchId, offset, version, reason }
  }

  async function describeConflict(
    record: PatchRecord,
    outcome: PatchOutcome,
  ): Promise<AdminResponse> {
    const history = await readHistory(log, tailer, record.baseVersion)
    const isComplete = history.isOk() && history.value.complete
    const entries = history.isOk() ? history.value.entries : []
    const appliedOperations = entries.flatMap((entry) => entry.operations)
    const check = checkRebase(record.operations, appliedOperations)
    const message = `version ${tailer.state.version} came into force first; read it and submit the patch again against it`
    return createErrorResponse(AdminErrorCode.Conflict, message, {
      ...outcome,
      version: tailer.state.version,
      rebase: { ...check, possible: isComplete && check.possible },
      changes: entries.map(describeEntry),
    })
  }

  function describeInvalid(
    actor: Actor,
    record: PatchRecord,
    outcome: PatchOutcome,
  ): AdminResponse {
    const before = tailer.state.configuration
    const patched = applyOperations(before, record.operations)
    const after = configurationSchema.safeParse(patched.unwrapOr(undefined))
    const isForbidden =
      after.success && authorizeChange(before, after.data, actor) !== undefined
    const code = isForbidden ? AdminErrorCode.Forbidden : AdminErrorCode.Invalid
    return createErrorResponse(
      code,
      outcome.reason ?? 'the patch is not valid',
      outcome,
    )
  }

  async function createResult(
    actor: Actor,
    record: PatchRecord,
    outcome: PatchOutcome,
  ): Promise<Result<PatchOutcome, AdminResponse>> {
    switch (outcome.kind) {
      case PatchOutcomeKind.Applied:
      case PatchOutcomeKind.Duplicate:
        return ok(outcome)
      case PatchOutcomeKind.Conflict:
        return err(await describeConflict(record, outcome))
      case PatchOutcomeKind.Invalid:
        return err(describeInvalid(actor, record, outcome))
    }
  }

  async function submit(
    actor: Actor,
    change: ChangeRequest,
  ): Promise<Result<PatchOutcome, AdminResponse>> {
    const record = toRecord(actor, change)
    const { state } = tailer
    const known = state.outcomes.get(record.patchId)
    if (known) return createResult(actor, record, known)
    // A patch based on a version that this router has not read yet may still be
    // applied, so it is not rejected before it is on the log.
    const expected = dryRun(record)
    const isRejected =
      record.baseVersion <= state.version &&
      expected.kind !== PatchOutcomeKind.Applied
    if (isRejected) return createResult(actor, record, expected)
    const submission = await submitPatch(log, tailer, record)
    if (submission.kind === SubmissionKind.Decided)
      return createResult(actor, record, submission.outcome)
    const { patchId } = record
    const code =
      submission.kind === SubmissionKind.NotAppended
        ? AdminErrorCode.LogUnavailable
        : AdminErrorCode.Unknown
    return err(createErrorResponse(code, submission.message, { patchId }))
  }

  return {
    validate: (actor, change) => dryRun(toRecord(actor, change)),
    submit,
    async update(actor, operations) {
      for (let attempts = 1; ; attempts += 1) {
        const { version, configuration } = tailer.state
        const result = await submit(actor, {
          baseVersion: version,
          operations: operations(configuration),
        })
        if (result.isOk() || attempts >= MAX_UPDATE_ATTEMPTS) return result
        if (result.error.status !== 409) return result
      }
    },
  }
}
