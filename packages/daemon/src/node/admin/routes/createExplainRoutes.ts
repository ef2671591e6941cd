import { findRank, Role, ServiceKind } from '@auburnbay/core'
import { z } from 'zod'
import { AdminErrorCode } from '../adminErrorCode.js'
import type { AdminServerOptions } from '../adminServerOptions.js'
import { createErrorResponse, createResponse } from '../adminResponses.js'
import type { AdminResponse, AdminRoute } from '../adminRoute.js'
import { parseBody } from '../parseBody.js'

const explainQuerySchema = z.object({
  service: z.string(),
  customer: z.string().default(''),
  chat: z.string().default(''),
  kind: z.string().default(''),
})
const chatQuerySchema = z.object({
  service: z.string().optional(),
  customer: z.string().default(''),
})

/** Routes that explain which target a request would go to and why. */
export function createExplainRoutes(options: AdminServerOptions): AdminRoute[] {
  const { routing, tailer } = options

  function unknownService(service: string): AdminResponse {
    const message = `there is no service ${service}; list them with GET /services`
    return createErrorResponse(AdminErrorCode.NotFound, message)
  }

  return [
    {
      method: 'GET',
      path: '/explain',
      role: Role.Viewer,
      handle: ({ query }) => {
        const parsed = parseBody(explainQuerySchema, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { service, customer, chat, kind } = parsed.value
        const { configuration } = tailer.state
        if (!Object.hasOwn(configuration.services, service))
          return unknownService(service)
        const rankQuery = { service, customer, requestKind: kind }
        return createResponse({
          ...routing.explain(service, customer, chat),
          router: options.settings.router.id,
          rank: findRank(configuration, rankQuery),
        })
      },
    },
    {
      method: 'GET',
      path: '/chats/:chat',
      role: Role.Viewer,
      handle: ({ params, query }) => {
        const parsed = parseBody(chatQuerySchema, Object.fromEntries(query))
        if (parsed.isErr()) return parsed.error
        const { chat = '' } = params
        const { service, customer } = parsed.value
        const { services } = tailer.state.configuration
        if (service !== undefined && !Object.hasOwn(services, service))
          return unknownService(service)
        const models = Object.entries(services)
          .filter(([, { kind }]) => kind === ServiceKind.Model)
          .map(([id]) => id)
        const serviceIds = service === undefined ? models : [service]
        return createResponse(
          serviceIds.map((id) => {
            const explanation = routing.explain(id, customer, chat)
            const target = explanation.chosen ?? null
            return {
              chat,
              service: id,
              target,
              hintSource: explanation.hintSource,
            }
          }),
        )
      },
    },
  ]
}
