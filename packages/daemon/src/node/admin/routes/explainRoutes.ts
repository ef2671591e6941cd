import { findRank, Role, ServiceKind } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminParts } from '../adminParts.js'
import { refuse, reply } from '../adminReplies.js'
import type { AdminReply, AdminRoute } from '../adminRoute.js'
import { parseBody } from '../parseBody.js'

const explainQuery = z.object({
  service: z.string(),
  customer: z.string().default(''),
  chat: z.string().default(''),
  kind: z.string().default(''),
})
const whereQuery = z.object({
  service: z.string().optional(),
  customer: z.string().default(''),
})

/** Paths that say where a request would go and why. */
export function createExplainRoutes(parts: AdminParts): AdminRoute[] {
  const { routing, tailer } = parts

  function unknownService(service: string): AdminReply {
    const message = `there is no service ${service}; list them with GET /services`
    return refuse(AdminErrorCode.NotFound, message)
  }

  return [
    {
      method: 'GET',
      path: '/explain',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(explainQuery, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { service, customer, chat, kind } = parsed.value
        const { configuration } = tailer.state
        if (!Object.hasOwn(configuration.services, service))
          return unknownService(service)
        const rankQuery = { service, customer, requestKind: kind }
        return reply({
          ...routing.explain(service, customer, chat),
          router: parts.settings.router.id,
          rank: findRank(configuration, rankQuery),
        })
      },
    },
    {
      method: 'GET',
      path: '/chats/:chat',
      role: Role.Viewer,
      handle: ({ params, query }) => {
        const parsed = parseBody(whereQuery, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { chat = '' } = params
        const { service, customer } = parsed.value
        const { services } = tailer.state.configuration
        if (service !== undefined && !Object.hasOwn(services, service))
          return unknownService(service)
        const models = Object.entries(services)
          .filter(([, { kind }]) => kind === ServiceKind.Model)
          .map(([id]) => id)
        const wanted = service === undefined ? models : [service]
        return reply(
          wanted.map((id) => {
            const found = routing.explain(id, customer, chat)
            const target = found.chosen ?? null
            return { chat, service: id, target, hintSource: found.hintSource }
          }),
        )
      },
    },
  ]
}
