import { randomUUID } from 'node:crypto'
import type { RequestError, JsonResponse } from '@auburnbay/http-utils'
import { ok, type Result } from 'neverthrow'
import type { AdminClient } from '../../adminClient.js'
import { messages } from '../../output/messages.js'
import { withProgress } from '../../output/withProgress.js'

/** A patch as given on the command line. */
export interface PatchArgs {
  readonly operations: unknown
  /** Version that the patch is based on; the current one when absent. */
  readonly base?: number
  readonly author?: string
  readonly patchId?: string
  /** Submits the patch again after a conflict when no paths clash. */
  readonly rebase: boolean
}

interface ConflictBody {
  readonly version: number
  readonly rebase?: { readonly possible: boolean; readonly clashes: string[] }
}

const MAX_REBASES = 5

function parseConflict(res: JsonResponse): ConflictBody | undefined {
  return res.status === 409 ? (res.body as ConflictBody) : undefined
}

function printConflict({ version, rebase }: ConflictBody): void {
  messages.warn(`Version ${version} is in force now.`)
  if (rebase?.possible)
    messages.info(
      'No paths clash; add --rebase to submit the patch against it.',
    )
  else if (rebase?.clashes.length)
    messages.info(
      `It changed ${rebase.clashes.join(', ')} as well; run auburnbay config diff before you try again.`,
    )
}

/**
 * Submits a patch; with `rebase`, submits it again on newer versions after
 * conflicts.
 */
export async function submitPatch(
  client: AdminClient,
  args: PatchArgs,
): Promise<Result<JsonResponse, RequestError>> {
  let baseVersion = args.base
  if (baseVersion === undefined) {
    const current = await client.call({ path: '/config' })
    if (current.isErr() || current.value.status !== 200) return current
    baseVersion = (current.value.body as { version: number }).version
  }
  for (let rebases = 0; ; rebases += 1) {
    // The id of a rejected patch stays on the log, so a rebase needs a new one.
    const patchId =
      rebases === 0 ? (args.patchId ?? randomUUID()) : randomUUID()
    messages.info(`Submitting patch ${patchId} against version ${baseVersion}.`)
    const { author, operations } = args
    const body = { patchId, baseVersion, author, operations }
    const path = '/config/patches'
    const call = client.call({ method: 'POST', path, body })
    const result = await withProgress('the log to confirm the patch', call)
    if (result.isErr()) return result
    const conflict = parseConflict(result.value)
    if (!conflict) return ok(result.value)
    const canRebase =
      args.rebase && conflict.rebase?.possible && rebases < MAX_REBASES
    if (!canRebase) {
      printConflict(conflict)
      return result
    }
    messages.info(`No paths clash with version ${conflict.version}; rebasing.`)
    baseVersion = conflict.version
  }
}
