import type { IncomingMessage, ServerResponse } from 'node:http'
import { includesRole } from '@auburnbay/core'
import {
  closeServer,
  listen,
  type ListenAddress,
  readBody,
  sendJson,
} from '@auburnbay/http-utils'
import { err, ok, type Result } from 'neverthrow'
import { AdminErrorCode } from './adminErrorCode.js'
import type { AdminParts } from './adminParts.js'
import { refuse } from './adminReplies.js'
import type { AdminReply } from './adminRoute.js'
import { authenticateOperator } from './authenticateOperator.js'
import { createAdminRoutes } from './createAdminRoutes.js'
import { matchRoutes } from './matchRoute.js'

/** The listener for operators. */
export interface AdminServer {
  readonly address: ListenAddress
  stop(): Promise<void>
}

/** Starts listening for operators. */
export async function createAdminServer(
  parts: AdminParts,
): Promise<AdminServer> {
  const { settings, tailer } = parts
  const routes = createAdminRoutes(parts)

  async function readJson(
    req: IncomingMessage,
  ): Promise<Result<unknown, AdminReply>> {
    const body = await readBody(req, settings.callers.maxBodyBytes)
    if (body.isErr()) {
      const message = `the body is over ${settings.callers.maxBodyBytes} bytes or was cut off`
      return err(refuse(AdminErrorCode.TooLarge, message))
    }
    const text = body.value.toString('utf8')
    try {
      return ok(text === '' ? undefined : (JSON.parse(text) as unknown))
    } catch {
      return err(refuse(AdminErrorCode.BadRequest, 'the body is not JSON'))
    }
  }

  async function answer(req: IncomingMessage): Promise<AdminReply> {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://admin')
    const { configuration } = tailer.state
    const { admin } = settings.secrets
    const actor = authenticateOperator(req, configuration, admin, Date.now())
    if (actor.isErr()) return actor.error
    const matches = matchRoutes(routes, pathname)
    if (matches.length === 0) {
      const message = 'unknown path; see docs/admin-api.md'
      return refuse(AdminErrorCode.NotFound, message)
    }
    const match = matches.find(({ route }) => route.method === req.method)
    if (!match) {
      const methods = matches.map(({ route }) => route.method).join(', ')
      const message = `this path takes ${methods}`
      return refuse(AdminErrorCode.MethodNotAllowed, message)
    }
    const { route, params } = match
    if (!includesRole(actor.value.role, route.role)) {
      const message = `operator ${actor.value.id} is ${actor.value.role}; this call needs the role ${route.role}`
      return refuse(AdminErrorCode.Forbidden, message)
    }
    const body = await readJson(req)
    if (body.isErr()) return body.error
    return route.handle({
      actor: actor.value,
      params,
      query: searchParams,
      body: body.value,
    })
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { status, body } = await answer(req)
    // An unread body would be taken for the next request.
    const closes = status >= 400 && !req.complete
    sendJson(res, status, body, closes ? { connection: 'close' } : {})
  }

  const server = parts.certificates.createServer(
    {
      maxHeaderSize: settings.callers.maxHeaderBytes,
      headersTimeout: settings.callers.headersTimeoutMs,
      requestTimeout: settings.callers.requestTimeoutMs,
    },
    (req, res) => {
      serve(req, res).catch((error: unknown) => {
        parts.logger.error(`A call failed: ${String(error)}.`)
        const message = 'the router failed; see its log'
        const failed = refuse(AdminErrorCode.Internal, message)
        if (res.headersSent) res.destroy()
        else sendJson(res, failed.status, failed.body)
      })
    },
    settings.listen.admin.tls,
  )
  const address = await listen(server, settings.listen.admin)
  return {
    address,
    stop: async () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      await closed
    },
  }
}
