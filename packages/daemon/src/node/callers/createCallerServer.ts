import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  type Configuration,
  FailureCode,
  type RequestFailure,
  Verdict,
} from '@auburnbay/core'
import {
  BodyError,
  closeServer,
  createWebServer,
  listen,
  type ListenAddress,
  readBody,
  sendJson,
} from '@auburnbay/http-utils'
import type { ConsolaInstance } from 'consola'
import { SLOW_CALLER_CHECK_MS } from '../constants.js'
import type { Metrics } from '../metrics/metrics.js'
import type { Certificates } from '../security/createCertificates.js'
import { createConnectionLimits } from '../security/createConnectionLimits.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { Hop, type HopSpan, type Tracing } from '../tracing/createTracing.js'
import { createActiveCalls } from './createActiveCalls.js'
import type { Dispatcher } from './createDispatcher.js'
import { createFailure } from './createFailure.js'
import { authenticate, parseRequest } from './parseRequest.js'
import { rejectMalformedRequest } from './rejectMalformedRequest.js'
import { sendFailure } from './sendFailure.js'

const RETRY_AFTER_S = 1

function toStoppingFailure({ verdict }: RequestFailure): RequestFailure {
  const message = 'this router stopped before the answer came'
  return createFailure(FailureCode.Stopping, message, verdict)
}

/** Options for {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly settings: ResolvedSettings
  readonly configuration: () => Configuration
  readonly isReady: () => boolean
  readonly dispatcher: Dispatcher
  readonly tracing: Tracing
  readonly metrics: Metrics
  readonly logger: ConsolaInstance
  /** Provides TLS; plain HTTP is used when absent. */
  readonly certificates?: Certificates
}

/** HTTP server that accepts callers' requests. */
export interface CallerServer {
  readonly address: ListenAddress
  /** Number of requests in flight. */
  readonly inFlight: number
  /** Closes each connection after its current or next response. */
  disableKeepAlive(): void
  /** Rejects new requests with the verdict `not-run`. */
  rejectNewRequests(): void
  /** Resolves when no request is in flight. */
  drained(): Promise<void>
  /** Aborts all requests in flight and returns their number. */
  abortAll(): number
  /** Closes the server and all its connections. */
  close(): Promise<void>
}

const httpServers: Pick<Certificates, 'createServer'> = {
  createServer: (options, listener) => createWebServer(options, listener),
}

/** Creates the caller server and starts to listen. */
export async function createCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  const { settings, configuration, dispatcher, tracing, logger } = options
  const connections = createConnectionLimits({
    maxPerAddress: settings.callers.maxConnectionsPerAddress,
    maxPerCustomer: settings.callers.maxConnectionsPerCustomer,
  })
  const calls = createActiveCalls()
  let rejecting = false

  async function route(
    req: IncomingMessage,
    res: ServerResponse,
    signal: AbortSignal,
    span: HopSpan,
  ): Promise<void> {
    if (rejecting) {
      const message = 'this router is stopping; try again at once'
      const failure = createFailure(
        FailureCode.Stopping,
        message,
        Verdict.NotRun,
        RETRY_AFTER_S,
      )
      sendFailure(res, failure, true)
      return
    }
    const cfg = configuration()
    const nowMs = Date.now()
    const customer = authenticate(req, cfg, nowMs)
    if (customer.isErr()) {
      sendFailure(res, customer.error, true)
      return
    }
    if (!connections.assign(customer.value, req.socket)) {
      const message = `more than ${settings.callers.maxConnectionsPerCustomer} connections are open; use those again`
      sendFailure(res, createFailure(FailureCode.LimitReached, message), true)
      return
    }
    const body = await readBody(req, settings.callers.maxBodyBytes)
    if (body.isErr()) {
      if (body.error === BodyError.Aborted) return
      const message = `the body is over ${settings.callers.maxBodyBytes} bytes`
      sendFailure(res, createFailure(FailureCode.BodyTooLarge, message), true)
      return
    }
    const parsed = parseRequest(req, customer.value, {
      configuration: cfg,
      body: body.value,
      signal,
      nowMs,
    })
    if (parsed.isErr()) {
      sendFailure(res, parsed.error)
      return
    }
    const { service, rank } = parsed.value
    span.setAttributes({ customer: customer.value, service, rank })
    const result = await dispatcher.dispatch(parsed.value, res, span.context)
    if (result.isErr()) {
      span.setAttributes({ verdict: result.error.verdict })
      sendFailure(
        res,
        calls.aborted ? toStoppingFailure(result.error) : result.error,
      )
    } else span.setAttributes({ verdict: Verdict.Ran })
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.url === '/healthz') {
      sendJson(res, 200, { healthy: true })
      return
    }
    if (req.url === '/readyz') {
      const ready = options.isReady()
      sendJson(res, ready ? 200 : 503, { ready })
      return
    }
    const span = tracing.startSpan(Hop.Accept, tracing.extract(req.headers))
    const { signal } = calls.add(res)
    try {
      await route(req, res, signal, span)
      span.end()
    } catch (error) {
      span.end(String(error))
      logger.debug(`Request failed: ${String(error)}.`)
      if (res.headersSent) res.destroy()
      else {
        const message = 'the router failed; report the time to your operator'
        const { Internal } = FailureCode
        sendFailure(res, createFailure(Internal, message, Verdict.MayHaveRun))
      }
    } finally {
      options.metrics.count('requests', 1, { status: String(res.statusCode) })
    }
  }

  const server = (options.certificates ?? httpServers).createServer(
    {
      maxHeaderSize: settings.callers.maxHeaderBytes,
      headersTimeout: settings.callers.headersTimeoutMs,
      requestTimeout: settings.callers.requestTimeoutMs,
      connectionsCheckingInterval: SLOW_CALLER_CHECK_MS,
    },
    (req, res) => {
      void serve(req, res)
    },
    settings.listen.callers.tls,
  )
  server.on('clientError', rejectMalformedRequest)
  server.on('connection', (socket: Socket) => {
    if (!connections.add(socket)) socket.destroy()
  })
  const address = await listen(server, settings.listen.callers)
  return {
    address,
    get inFlight() {
      return calls.count
    },
    rejectNewRequests: () => {
      rejecting = true
    },
    disableKeepAlive: () => {
      calls.disableKeepAlive()
    },
    drained: () => calls.drained(),
    abortAll: () => calls.abortAll(),
    close: async () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      await closed
    },
  }
}
