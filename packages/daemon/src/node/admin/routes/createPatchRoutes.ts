import { patchRecordSchema, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../createConfigurationWriter.js'
import { findOutcome } from '../findOutcome.js'
import { parseBody } from '../parseBody.js'

const { patchId, baseVersion, author, operations } = patchRecordSchema.shape

const patchBodySchema = z.object({
  patchId: patchId.optional(),
  baseVersion,
  author: author.optional(),
  operations,
})

const validateBodySchema = z.object({
  baseVersion: baseVersion.optional(),
  operations,
})

/** Routes that submit and validate patches and look up their outcomes. */
export function createPatchRoutes(
  { tailer }: AdminServerOptions,
  writer: ConfigurationWriter,
): AdminRoute[] {
  return [
    {
      method: 'POST',
      path: '/config/patches',
      role: Role.Editor,
      handle: async ({ actor, body }) => {
        const change = parseBody(patchBodySchema, body)
        if (change.isErr()) return change.error
        const result = await writer.submit(actor, change.value)
        return result.isOk() ? createResponse(result.value) : result.error
      },
    },
    {
      method: 'GET',
      path: '/config/patches/:patchId',
      role: Role.Viewer,
      handle: async ({ params }) => {
        const { patchId = '' } = params
        const outcome = await findOutcome(tailer, patchId)
        if (outcome) return createResponse(outcome)
        const message = `patch ${patchId} is not on the log as far as this router has read it; ask again, and submit it again with the same id when it stays away`
        return createErrorResponse(AdminErrorCode.Unknown, message, { patchId })
      },
    },
    {
      method: 'POST',
      path: '/config/validate',
      role: Role.Viewer,
      handle: ({ actor, body }) => {
        const change = parseBody(validateBodySchema, body)
        if (change.isErr()) return change.error
        const { version } = tailer.state
        const base = change.value.baseVersion ?? version
        return createResponse(
          writer.validate(actor, { ...change.value, baseVersion: base }),
        )
      },
    },
  ]
}
