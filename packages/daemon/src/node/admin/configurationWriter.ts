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
import { refuse } from './adminReplies.js'
import type { AdminReply } from './adminRoute.js'
import { type HistoryEntry, readHistory } from './configurationHistory.js'
import { SubmissionKind, submitPatch } from './submitPatch.js'

/** A change as an operator asks for it. */
export interface ChangeRequest {
  /** @default a new id */
  readonly patchId?: string
  readonly baseVersion: number
  /** Name in the history of the bootstrap owner's changes. @default "admin" */
  readonly author?: string
  readonly operations: PatchRecord['operations']
}

/** Puts operators' changes on the log. */
export interface ConfigurationWriter {
  /** Decides a change against the version in force without submitting it. */
  validate(actor: Actor, change: ChangeRequest): PatchOutcome
  /** Submits a change; the error is the answer for the operator. */
  submit(
    actor: Actor,
    change: ChangeRequest,
  ): Promise<Result<PatchOutcome, AdminReply>>
  /** Submits what `operations` makes of the version in force, again after a lost race. */
  update(
    actor: Actor,
    operations: (cfg: Configuration) => PatchRecord['operations'],
  ): Promise<Result<PatchOutcome, AdminReply>>
}

const MAX_UPDATE_TRIES = 5

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

/** Creates the writer of one router. */
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
  ): Promise<AdminReply> {
    const history = await readHistory(log, tailer, record.baseVersion)
    const known = history.isOk() && history.value.complete
    const entries = history.isOk() ? history.value.entries : []
    const theirs = entries.flatMap((entry) => entry.operations)
    const offer = checkRebase(record.operations, theirs)
    const message = `version ${tailer.state.version} came into force first; read it and submit the patch again against it`
    return refuse(AdminErrorCode.Conflict, message, {
      ...outcome,
      version: tailer.state.version,
      rebase: { ...offer, possible: known && offer.possible },
      changes: entries.map(describeEntry),
    })
  }

  function describeInvalid(
    actor: Actor,
    record: PatchRecord,
    outcome: PatchOutcome,
  ): AdminReply {
    const before = tailer.state.configuration
    const patched = applyOperations(before, record.operations)
    const after = configurationSchema.safeParse(patched.unwrapOr(undefined))
    const refused =
      after.success && authorizeChange(before, after.data, actor) !== undefined
    const code = refused ? AdminErrorCode.Forbidden : AdminErrorCode.Invalid
    return refuse(code, outcome.reason ?? 'the patch is not valid', outcome)
  }

  async function toResult(
    actor: Actor,
    record: PatchRecord,
    outcome: PatchOutcome,
  ): Promise<Result<PatchOutcome, AdminReply>> {
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
  ): Promise<Result<PatchOutcome, AdminReply>> {
    const record = toRecord(actor, change)
    const { state } = tailer
    const known = state.outcomes.get(record.patchId)
    if (known) return toResult(actor, record, known)
    // A base that this router has not reached yet may still win on the log.
    const expected = dryRun(record)
    const decided =
      record.baseVersion <= state.version &&
      expected.kind !== PatchOutcomeKind.Applied
    if (decided) return toResult(actor, record, expected)
    const submission = await submitPatch(log, tailer, record)
    if (submission.kind === SubmissionKind.Decided)
      return toResult(actor, record, submission.outcome)
    const { patchId } = record
    const code =
      submission.kind === SubmissionKind.NotAppended
        ? AdminErrorCode.LogUnavailable
        : AdminErrorCode.Unknown
    return err(refuse(code, submission.message, { patchId }))
  }

  return {
    validate: (actor, change) => dryRun(toRecord(actor, change)),
    submit,
    async update(actor, operations) {
      for (let tries = 1; ; tries += 1) {
        const { version, configuration } = tailer.state
        const result = await submit(actor, {
          baseVersion: version,
          operations: operations(configuration),
        })
        if (result.isOk() || tries >= MAX_UPDATE_TRIES) return result
        if (result.error.status !== 409) return result
      }
    },
  }
}
