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
import { refuseBrokenRequest } from './refuseBrokenRequest.js'
import { sendFailure } from './sendFailure.js'

const RETRY_AFTER_S = 1

function cutOff({ verdict }: RequestFailure): RequestFailure {
  const message = 'this router stopped before the answer came'
  return createFailure(FailureCode.Stopping, message, verdict)
}

/** What the listener for callers works with. */
export interface CallerServerOptions {
  readonly settings: ResolvedSettings
  readonly configuration: () => Configuration
  readonly isReady: () => boolean
  readonly dispatcher: Dispatcher
  readonly tracing: Tracing
  readonly metrics: Metrics
  readonly logger: ConsolaInstance
  /** Plain HTTP without it. */
  readonly certificates?: Certificates
}

/** The listener for callers. */
export interface CallerServer {
  readonly address: ListenAddress
  /** Requests under way. */
  readonly inFlight: number
  /** From now on answers end their connections. */
  disableKeepAlive(): void
  /** From now on new requests are refused as not run. */
  rejectNewRequests(): void
  /** Resolves once no request is under way. */
  drained(): Promise<void>
  /** Breaks every request off and returns how many there were. */
  abortAll(): number
  /** Ends every connection and the listener. */
  close(): Promise<void>
}

const plainServers: Pick<Certificates, 'createServer'> = {
  createServer: (options, listener) => createWebServer(options, listener),
}

/** Starts listening for callers. */
export async function createCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  const { settings, configuration, dispatcher, tracing, logger } = options
  const connections = createConnectionLimits({
    maxPerAddress: settings.callers.maxConnectionsPerAddress,
    maxPerCustomer: settings.callers.maxConnectionsPerCustomer,
  })
  const calls = createActiveCalls()
  let refusing = false

  async function route(
    req: IncomingMessage,
    res: ServerResponse,
    signal: AbortSignal,
    span: HopSpan,
  ): Promise<void> {
    if (refusing) {
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
    if (!connections.claim(customer.value, req.socket)) {
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
      sendFailure(res, calls.cutting ? cutOff(result.error) : result.error)
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
    const { signal } = calls.begin(res)
    try {
      await route(req, res, signal, span)
      span.end()
    } catch (error) {
      span.end(String(error))
      logger.debug(`A request failed: ${String(error)}.`)
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

  const server = (options.certificates ?? plainServers).createServer(
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
  server.on('clientError', refuseBrokenRequest)
  server.on('connection', (socket: Socket) => {
    if (!connections.open(socket)) socket.destroy()
  })
  const address = await listen(server, settings.listen.callers)
  return {
    address,
    get inFlight() {
      return calls.count
    },
    rejectNewRequests: () => {
      refusing = true
    },
    disableKeepAlive: () => {
      calls.closeConnections()
    },
    drained: () => calls.drained(),
    abortAll: () => calls.cutOff(),
    close: async () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      await closed
    },
  }
}
