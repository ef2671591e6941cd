import { createOperatorToken, joinPointer, Role } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminReply, AdminRoute } from '../adminRoute.js'
import type { ConfigurationWriter } from '../configurationWriter.js'
import { parseBody } from '../parseBody.js'

/** Seconds that an operator's token works unless told otherwise: 90 days. */
const DEFAULT_TOKEN_S = 7_776_000
const MS_PER_S = 1_000

const expiresInS = z.number().positive().default(DEFAULT_TOKEN_S)
const createBody = z.strictObject({
  id: z.string(),
  team: z.string(),
  role: z.enum(Role),
  expiresInS,
})
const rotateBody = z.strictObject({ expiresInS })

function newToken(operator: string, seconds: number) {
  const token = createOperatorToken(operator)
  const expiresAtMs = Math.ceil(Date.now() + seconds * MS_PER_S)
  return { text: token.text, stored: { ...token.stored, expiresAtMs } }
}

/** Paths that create operators and give them new tokens. */
export function createOperatorRoutes(
  { tailer }: AdminParts,
  writer: ConfigurationWriter,
): AdminRoute[] {
  const has = (id: string): boolean =>
    Object.hasOwn(tailer.state.configuration.operators, id)

  function taken(id: string): AdminReply {
    const message = `there is an operator ${id}; rotate the token or choose another id`
    return refuse(AdminErrorCode.Conflict, message)
  }

  return [
    {
      method: 'POST',
      path: '/operators',
      role: Role.Owner,
      handle: async ({ actor, body }) => {
        const parsed = parseBody(createBody, body)
        if (parsed.isErr()) return parsed.error
        const { id, team, role, expiresInS } = parsed.value
        if (has(id)) return taken(id)
        const token = newToken(id, expiresInS)
        const value = { team, role, token: token.stored }
        const path = joinPointer('operators', id)
        const result = await writer.update(actor, () => [
          { op: 'add', path, value },
        ])
        if (result.isErr()) return result.error
        const { version } = result.value
        return reply({ id, team, role, token: token.text, version })
      },
    },
    {
      method: 'POST',
      path: '/operators/:operator/rotate',
      role: Role.Owner,
      handle: async ({ actor, params, body }) => {
        const { operator = '' } = params
        const parsed = parseBody(rotateBody, body)
        if (parsed.isErr()) return parsed.error
        if (!has(operator)) {
          const message = `there is no operator ${operator}`
          return refuse(AdminErrorCode.NotFound, message)
        }
        const token = newToken(operator, parsed.value.expiresInS)
        const path = joinPointer('operators', operator, 'token')
        const result = await writer.update(actor, () => [
          { op: 'replace', path, value: token.stored },
        ])
        if (result.isErr()) return result.error
        const { version } = result.value
        return reply({ id: operator, token: token.text, version })
      },
    },
  ]
}
