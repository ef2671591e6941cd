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
import type { AdminServerOptions } from './adminServerOptions.js'
import { createErrorResponse } from './adminResponses.js'
import type { AdminResponse } from './adminRoute.js'
import { authenticateOperator } from './authenticateOperator.js'
import { createAdminRoutes } from './createAdminRoutes.js'
import { matchRoutes } from './matchRoutes.js'

/** HTTP server of the administration API. */
export interface AdminServer {
  readonly address: ListenAddress
  stop(): Promise<void>
}

/** Creates the administration server and starts to listen. */
export async function createAdminServer(
  options: AdminServerOptions,
): Promise<AdminServer> {
  const { settings, tailer } = options
  const routes = createAdminRoutes(options)

  async function readJson(
    req: IncomingMessage,
  ): Promise<Result<unknown, AdminResponse>> {
    const body = await readBody(req, settings.callers.maxBodyBytes)
    if (body.isErr()) {
      const message = `the body is over ${settings.callers.maxBodyBytes} bytes or was cut off`
      return err(createErrorResponse(AdminErrorCode.TooLarge, message))
    }
    const text = body.value.toString('utf8')
    try {
      return ok(text === '' ? undefined : (JSON.parse(text) as unknown))
    } catch {
      return err(
        createErrorResponse(AdminErrorCode.BadRequest, 'the body is not JSON'),
      )
    }
  }

  async function handle(req: IncomingMessage): Promise<AdminResponse> {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://admin')
    const { configuration } = tailer.state
    const { admin } = settings.secrets
    const actor = authenticateOperator(req, configuration, admin, Date.now())
    if (actor.isErr()) return actor.error
    const matches = matchRoutes(routes, pathname)
    if (matches.length === 0) {
      const message = 'unknown path; see docs/admin-api.md'
      return createErrorResponse(AdminErrorCode.NotFound, message)
    }
    const match = matches.find(({ route }) => route.method === req.method)
    if (!match) {
      const methods = matches.map(({ route }) => route.method).join(', ')
      const message = `this path takes ${methods}`
      return createErrorResponse(AdminErrorCode.MethodNotAllowed, message)
    }
    const { route, params } = match
    if (!includesRole(actor.value.role, route.role)) {
      const message = `operator ${actor.value.id} is ${actor.value.role}; this call needs the role ${route.role}`
      return createErrorResponse(AdminErrorCode.Forbidden, message)
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
    const { status, body } = await handle(req)
    // An unread body would be parsed as the next request on the connection.
    const closeConnection = status >= 400 && !req.complete
    sendJson(res, status, body, closeConnection ? { connection: 'close' } : {})
  }

  const server = options.certificates.createServer(
    {
      maxHeaderSize: settings.callers.maxHeaderBytes,
      headersTimeout: settings.callers.headersTimeoutMs,
      requestTimeout: settings.callers.requestTimeoutMs,
    },
    (req, res) => {
      serve(req, res).catch((error: unknown) => {
        options.logger.error(`Request failed: ${String(error)}.`)
        const message = 'the router failed; see its log'
        const failure = createErrorResponse(AdminErrorCode.Internal, message)
        if (res.headersSent) res.destroy()
        else sendJson(res, failure.status, failure.body)
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
