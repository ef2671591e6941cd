import { randomUUID } from 'node:crypto'
import type { RequestError, JsonResponse } from '@auburnbay/http-utils'
import { ok, type Result } from 'neverthrow'
import type { AdminClient } from '../../adminClient.js'
import { messages } from '../../output/messages.js'
import { withProgress } from '../../output/withProgress.js'

/** A patch as given on the command line. */
export interface PatchArgs {
  readonly operations: unknown
  /** Version in force when absent. */
  readonly base?: number
  readonly author?: string
  readonly patchId?: string
  /** Submit again after a lost race when no paths clash. */
  readonly rebase: boolean
}

interface ConflictBody {
  readonly version: number
  readonly rebase?: { readonly possible: boolean; readonly clashes: string[] }
}

const MAX_REBASES = 5

function parseConflict(reply: JsonResponse): ConflictBody | undefined {
  return reply.status === 409 ? (reply.body as ConflictBody) : undefined
}

function printConflict({ version, rebase }: ConflictBody): void {
  messages.warn(`Version ${version} is in force now.`)
  if (rebase?.possible)
    messages.info(
      'No paths clash; add --rebase to submit the patch against it.',
    )
  else if (rebase?.clashes.length)
    messages.info(
      `It changed ${rebase.clashes.join(', ')} as well; look with auburnbay config diff before you try again.`,
    )
}

/** Submits a patch, again on newer versions where that was asked for. */
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
    // A patch that was refused keeps its id on the log; a rebase needs another.
    const patchId =
      rebases === 0 ? (args.patchId ?? randomUUID()) : randomUUID()
    messages.info(`Submitting patch ${patchId} against version ${baseVersion}.`)
    const { author, operations } = args
    const body = { patchId, baseVersion, author, operations }
    const path = '/config/patches'
    const call = client.call({ method: 'POST', path, body })
    const reply = await withProgress('the log to confirm the patch', call)
    if (reply.isErr()) return reply
    const conflict = parseConflict(reply.value)
    if (!conflict) return ok(reply.value)
    const again =
      args.rebase && conflict.rebase?.possible && rebases < MAX_REBASES
    if (!again) {
      printConflict(conflict)
      return reply
    }
    messages.info(`No paths clash with version ${conflict.version}; rebasing.`)
    baseVersion = conflict.version
  }
}
