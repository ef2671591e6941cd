import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import { hash32 } from '@auburnbay/core/hash/hash32'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { listen, type ListenAddress } from '@auburnbay/http-utils/listen'
import { BodyError, readBody } from '@auburnbay/http-utils/readBody'
import { err, ok, type Result } from 'neverthrow'
import type {
  ActiveConfiguration,
  ConfigurationStore,
} from '../configuration/createConfigurationStore.js'
import type { Route } from '../configuration/route.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { Call } from './call.js'
import type { CallerProtocol } from './callerProtocol.js'
import type { CallerRequest } from './callerRequest.js'
import type { Dispatcher } from './createDispatcher.js'
import { failures } from './failures.js'
import { sendFailure } from './sendFailure.js'

/** Bytes of headers that are read; a configuration's own bound lies below. */
const MAX_HEADER_BYTES = 64 * 1024
/** Milliseconds until a request must be whole. */
const REQUEST_TIMEOUT_MS = 30_000
/** Milliseconds between two looks for connections that are too slow. */
const SLOW_CHECK_MS = 1_000
/** Milliseconds that a connection is kept beyond what callers are told. */
const IDLE_MARGIN_MS = 1_000
/** Bound on a body before a configuration tells another, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** What the listener for callers works with. */
export interface CallerServerOptions {
  readonly address: ListenAddress
  readonly configurationStore: ConfigurationStore
  readonly protocol: CallerProtocol
  readonly dispatcher: Dispatcher
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Milliseconds up to which the list of targets surely has all changes. */
  readonly targetsAgeMs: () => number
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** The listener for callers. */
export interface CallerServer {
  readonly address: ListenAddress
  /** Requests under way. */
  readonly inFlight: number
  /** From now on every answer ends its connection. */
  closeAfterResponses(): void
  /** From now on connections are refused, idle ones closed and requests refused as not run. */
  stopAccepting(): void
  /** Ends every connection. */
  close(): void
}

type Admitted = Omit<Call, 'body' | 'signal' | 'dueAtMs'>

function pathOf(url: string): string {
  const query = url.indexOf('?')
  return query < 0 ? url : url.slice(0, query)
}

/** Chooses a service by weight, the same for every look at one request. */
function chooseService({ services }: Route, attemptId: string): string {
  let total = 0
  for (const { weight } of services) total += weight
  let point = (hash32(attemptId) / 2 ** 32) * total
  for (const { service, weight } of services) {
    if (point < weight) return service
    point -= weight
  }
  return services.at(-1)?.service ?? ''
}

function admit(
  req: IncomingMessage,
  request: CallerRequest,
  inForce: ActiveConfiguration,
): Result<Admitted, RequestFailure> {
  const path = req.url ?? '/'
  const route = inForce.routes.find(request.host, pathOf(path))
  if (!route) return err(failures.noRoute)
  const customer =
    request.key === undefined
      ? undefined
      : inForce.customersByKey?.get(request.key)
  const needsKey = inForce.customersByKey !== undefined && !route.anonymous
  if (needsKey && !customer) return err(failures.wrongKey)
  return ok({
    request,
    method: req.method ?? 'GET',
    path,
    rawHeaders: req.rawHeaders,
    route,
    service: chooseService(route, request.attemptId),
    ...(customer && { customer }),
  })
}

/** Starts listening for callers. */
export async function createCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  const {
    configurationStore: keeper,
    protocol,
    dispatcher,
    log,
    metrics,
    now,
  } = options
  let inFlight = 0
  let closing = false
  let refusing = false

  function refuse(
    res: ServerResponse,
    attemptId: string,
    failure: RequestFailure,
  ): void {
    log.write(LogEvent.RequestRefused, {
      request: attemptId,
      status: failure.status,
      code: failure.code,
      verdict: failure.verdict,
      version: keeper.version,
    })
    sendFailure(res, failure)
  }

  async function run(admitted: Admitted, body: Buffer, res: ServerResponse) {
    const { request, route } = admitted
    const startedAtMs = now()
    const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? Infinity)
    const over = new AbortController()
    const timer = setTimeout(() => {
      over.abort()
    }, limitMs)
    res.once('close', () => {
      over.abort()
    })
    const call: Call = {
      ...admitted,
      body,
      signal: over.signal,
      dueAtMs: startedAtMs + limitMs,
    }
    const outcome = await dispatcher.dispatch(call, res)
    const { failure, sends, target } = outcome
    clearTimeout(timer)
    const callerGone = res.closed && !res.writableFinished
    if (failure && !callerGone) sendFailure(res, failure)
    const status = failure?.status ?? res.statusCode
    const elapsedMs = now() - startedAtMs
    metrics.recordRequest(
      route.name,
      callerGone ? 0 : status,
      elapsedMs / 1_000,
    )
    log.write(LogEvent.RequestEnded, {
      request: request.attemptId,
      route: route.name,
      service: admitted.service,
      customer: admitted.customer?.name,
      version: keeper.version,
      targetsAgeMs: Math.round(options.targetsAgeMs()),
      target,
      sends,
      status,
      callerGone,
      verdict: failure?.verdict ?? Verdict.Ran,
      code: failure?.code,
      ms: Math.round(elapsedMs),
    })
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const request = protocol.decodeRequest(req)
    const limits = keeper.current?.configuration.limits
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES
    const body = await readBody(req, maxBytes)
    if (body.isErr()) {
      if (body.error === BodyError.Aborted) return
      res.shouldKeepAlive = false
      refuse(res, request.attemptId, failures.bodyTooLarge)
      return
    }
    if (closing) res.shouldKeepAlive = false
    const inForce = keeper.current
    const admitted = inForce
      ? admit(req, request, inForce)
      : err(failures.starting)
    if (refusing) {
      refuse(res, request.attemptId, failures.stopping)
      return
    }
    if (admitted.isErr()) {
      refuse(res, request.attemptId, admitted.error)
      return
    }
    await run(admitted.value, body.value, res)
  }

  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: SLOW_CHECK_MS,
    },
    (req, res) => {
      const limits = keeper.current?.configuration.limits
      if (limits) {
        server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
        server.headersTimeout = limits.headerTimeoutMs
      }
      inFlight += 1
      res.once('close', () => {
        inFlight -= 1
      })
      serve(req, res).catch((error: unknown) => {
        log.write(LogEvent.RequestEnded, {
          reason: error instanceof Error ? error.stack : String(error),
        })
        res.destroy()
      })
    },
  )
  const address = await listen(server, options.address)

  return {
    address,
    get inFlight() {
      return inFlight
    },
    closeAfterResponses() {
      closing = true
    },
    stopAccepting() {
      refusing = true
      server.close()
      server.closeIdleConnections()
    },
    close() {
      server.closeAllConnections()
    },
  }
}
