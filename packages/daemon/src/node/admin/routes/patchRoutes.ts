import { patchRecordSchema, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../configurationWriter.js'
import { findOutcome } from '../findOutcome.js'
import { parseBody } from '../parseBody.js'

const { patchId, baseVersion, author, operations } = patchRecordSchema.shape

const patchBody = z.object({
  patchId: patchId.optional(),
  baseVersion,
  author: author.optional(),
  operations,
})

const validateBody = z.object({
  baseVersion: baseVersion.optional(),
  operations,
})

/** Paths that submit patches, try them out and ask for their outcome. */
export function createPatchRoutes(
  { tailer }: AdminParts,
  writer: ConfigurationWriter,
): AdminRoute[] {
  return [
    {
      method: 'POST',
      path: '/config/patches',
      role: Role.Editor,
      handle: async ({ actor, body }) => {
        const change = parseBody(patchBody, body)
        if (change.isErr()) return change.error
        const result = await writer.submit(actor, change.value)
        return result.isOk() ? reply(result.value) : result.error
      },
    },
    {
      method: 'GET',
      path: '/config/patches/:patchId',
      role: Role.Viewer,
      handle: async ({ params }) => {
        const { patchId = '' } = params
        const outcome = await findOutcome(tailer, patchId)
        if (outcome) return reply(outcome)
        const message = `patch ${patchId} is not on the log as far as this router has read it; ask again, and submit it again with the same id when it stays away`
        return refuse(AdminErrorCode.Unknown, message, { patchId })
      },
    },
    {
      method: 'POST',
      path: '/config/validate',
      role: Role.Viewer,
      handle: ({ actor, body }) => {
        const change = parseBody(validateBody, body)
        if (change.isErr()) return change.error
        const { version } = tailer.state
        const base = change.value.baseVersion ?? version
        return reply(
          writer.validate(actor, { ...change.value, baseVersion: base }),
        )
      },
    },
  ]
}
