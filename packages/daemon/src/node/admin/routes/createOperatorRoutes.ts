import { createOperatorToken, joinPointer, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminResponse, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../createConfigurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Seconds that an operator's token is valid by default: 90 days. */
const DEFAULT_TOKEN_LIFETIME_S = 7_776_000
const MS_PER_S = 1_000

const expiresInS = z.number().positive().default(DEFAULT_TOKEN_LIFETIME_S)
const createBodySchema = z.strictObject({
  id: z.string(),
  team: z.string(),
  role: z.enum(Role),
  expiresInS,
})
const rotateBodySchema = z.strictObject({ expiresInS })

function createToken(operator: string, lifetimeS: number) {
  const token = createOperatorToken(operator)
  const expiresAtMs = Math.ceil(Date.now() + lifetimeS * MS_PER_S)
  return { text: token.text, stored: { ...token.stored, expiresAtMs } }
}

/** Routes that create operators and rotate their tokens. */
export function createOperatorRoutes(
  { tailer }: AdminServerOptions,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const exists = (id: string): boolean =>
    Object.hasOwn(tailer.state.configuration.operators, id)

  function conflict(id: string): AdminResponse {
    const message = `there is an operator ${id}; rotate the token or choose another id`
    return createErrorResponse(AdminErrorCode.Conflict, message)
  }

  return [
    {
      method: 'POST',
      path: '/operators',
      role: Role.Owner,
      handle: async ({ actor, body }) => {
        const parsed = parseBody(createBodySchema, body)
        if (parsed.isErr()) return parsed.error
        const { id, team, role, expiresInS } = parsed.value
        if (exists(id)) return conflict(id)
        const token = createToken(id, expiresInS)
        const value = { team, role, token: token.stored }
        const path = joinPointer('operators', id)
        const result = await writer.update(actor, () => [
          { op: 'add', path, value },
        ])
        if (result.isErr()) return result.error
        const { version } = result.value
        return createResponse({ id, team, role, token: token.text, version })
      },
    },
    {
      method: 'POST',
      path: '/operators/:operator/rotate',
      role: Role.Owner,
      handle: async ({ actor, params, body }) => {
        const { operator = '' } = params
        const parsed = parseBody(rotateBodySchema, body)
        if (parsed.isErr()) return parsed.error
        if (!exists(operator)) {
          const message = `there is no operator ${operator}`
          return createErrorResponse(AdminErrorCode.NotFound, message)
        }
        const token = createToken(operator, parsed.value.expiresInS)
        const path = joinPointer('operators', operator, 'token')
        const result = await writer.update(actor, () => [
          { op: 'replace', path, value: token.stored },
        ])
        if (result.isErr()) return result.error
        const { version } = result.value
        return createResponse({ id: operator, token: token.text, version })
      },
    },
  ]
}
