import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import {
  type BufferLease,
  createBufferBudget,
} from '@auburnbay/http-utils/createBufferBudget'
import { findHeaderFault } from '@auburnbay/http-utils/findHeaderFault'
import { BodyError, readBody } from '@auburnbay/http-utils/readBody'
import { err, ok } from 'neverthrow'
import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import {
  createStopAdmission,
  type StopAdmission,
} from '../stopping/createStopAdmission.js'
import { type AdmittedRequest, admitRequest } from './admitRequest.js'
import { admitRelayed } from './admitRelayed.js'
import { admitResumption } from './admitResumption.js'
import type { Call } from './call.js'
import type { CallerProtocol } from './callerProtocol.js'
import type { CallerRequest } from './callerRequest.js'
import type { Dispatcher } from './createDispatcher.js'
import { failures } from './failures.js'
import { limitMsOf } from './limitMsOf.js'
import { type RequestArrival, reportedLease } from './requestArrival.js'
import { createDepartureCheck } from './createDepartureCheck.js'
import { createRefusalLogger } from './createRefusalLogger.js'
import { refuseRequest } from './refuseRequest.js'
import { requestEndFields } from './requestEndFields.js'
import { sendFailure } from './sendFailure.js'
import { startingRetryAfterS } from './startingRetryAfterS.js'

/** Body limit until a configuration is loaded, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/** Memory for the bodies of all requests together, in bytes; garbage takes as much again, of the 350 MB of a small VM. */
const MAX_BODIES_BYTES = 64 * 1024 * 1024

/** Options for {@link createRequestHandler}. */
export interface RequestHandlerOptions {
  readonly configurationStore: ConfigurationStore
  readonly protocol: CallerProtocol
  readonly dispatcher: Dispatcher
  readonly streams: ResumableStreams
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Milliseconds since the source of configurations became unavailable; 0 while it is available. */
  readonly sourceOutageMs: () => number
  /** Upper bound on the staleness of the target list, in milliseconds. */
  readonly targetsAgeMs: () => number
  /** Whether what is read now may have arrived long ago. */
  readonly isBehind: () => boolean
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Handles the requests of callers. */
export interface RequestHandler {
  /** Number of requests in flight. */
  readonly inFlight: number
  /** Handles a request of a caller, or one that a peer relays. */
  handle(
    req: IncomingMessage,
    res: ServerResponse,
    arrival?: RequestArrival,
  ): void
  /** Refuses a request for which the router has no room; it is not run. */
  refuse(req: IncomingMessage, res: ServerResponse): void
  /** Which requests are taken while the router stops; each connection then ends after its current or next response. */
  readonly stopAdmission: StopAdmission
  /** Ends the remaining requests with an error response. */
  abortRequests(): void
}

/** Creates a handler. */
export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  const { configurationStore, protocol, dispatcher, log, metrics, now } =
    options
  const bodies = createBufferBudget(MAX_BODIES_BYTES)
  let inFlight = 0
  const aborters = new Set<AbortController>()
  const stopAdmission = createStopAdmission(now)
  const hasLeft = createDepartureCheck(options.isBehind)
  const logRefused = createRefusalLogger(log, configurationStore)

  function refuse(
    res: ServerResponse,
    request: CallerRequest,
    failure: RequestFailure,
    isRelayed: boolean,
  ): void {
    logRefused(request, failure)
    sendFailure(res, failure, isRelayed)
  }

  async function forward(
    admitted: AdmittedRequest,
    body: Buffer,
    memory: BufferLease,
    res: ServerResponse,
    startedAtMs: number,
    onWork: RequestArrival['onWork'],
  ) {
    const { route } = admitted
    const limitMs = limitMsOf(admitted)
    const aborter = new AbortController()
    aborters.add(aborter)
    const timer = setTimeout(
      () => {
        aborter.abort()
      },
      limitMs - (now() - startedAtMs),
    )
    res.once('close', () => {
      aborter.abort()
      aborters.delete(aborter)
    })
    const call: Call = {
      ...admitted,
      body,
      memory,
      signal: aborter.signal,
      deadlineAtMs: startedAtMs + limitMs,
    }
    if (await hasLeft(res)) aborter.abort()
    const work = onWork?.()
    const outcome = await dispatcher.dispatch(call, res).finally(() => {
      work?.end()
    })
    const { failure } = outcome
    clearTimeout(timer)
    const callerGone = res.destroyed && !res.writableFinished
    if (failure && !callerGone)
      sendFailure(res, failure, admitted.relayed !== undefined)
    const status = failure?.status ?? res.statusCode
    const elapsedMs = now() - startedAtMs
    stopAdmission.recordEnd(route.name, elapsedMs)
    metrics.recordRequest(
      route.name,
      callerGone ? 0 : status,
      elapsedMs / 1_000,
    )
    log.write(LogEvent.RequestEnded, {
      ...requestEndFields(admitted, outcome),
      version: configurationStore.version,
      targetsAgeMs: Math.round(options.targetsAgeMs()),
      status,
      callerGone,
      ms: Math.round(elapsedMs),
    })
  }

  async function handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
    arrival: RequestArrival,
  ): Promise<void> {
    const { relayed, waitedMs = 0 } = arrival
    const startedAtMs = now() - waitedMs
    const request = protocol.decodeRequest(req)
    const isRelayed = relayed !== undefined
    const limits = configurationStore.current?.configuration.limits
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES
    const memory = reportedLease(bodies.lease(), arrival)
    res.once('close', () => {
      memory.end()
    })
    const body = await readBody(req, maxBytes, { lease: memory })
    if (body.isErr()) {
      if (body.error === BodyError.Aborted) return
      const failure =
        body.error === BodyError.TooLarge
          ? failures.bodyTooLarge
          : failures.noRoom
      logRefused(request, failure)
      refuseRequest(req, res, failure, isRelayed)
      return
    }
    if (findHeaderFault(req.rawHeaders) !== undefined) {
      res.shouldKeepAlive = false
      refuse(res, request, failures.badRequest, isRelayed)
      return
    }
    if (stopAdmission.isStopping) res.shouldKeepAlive = false
    const active = configurationStore.current
    const admitted = active
      ? admitRequest(req, request, active)
          .andThen((value) =>
            admitResumption(value, options.streams, relayed?.softwareVersion),
          )
          .andThen((value) =>
            stopAdmission.takes(value.route, limitMsOf(value))
              ? ok(value)
              : err(failures.stopping),
          )
      : err({
          ...failures.starting,
          retryAfterS: startingRetryAfterS(
            options.sourceOutageMs(),
            request.attemptId,
          ),
        })
    if (admitted.isErr()) {
      refuse(res, request, admitted.error, isRelayed)
      return
    }
    await forward(
      relayed ? admitRelayed(admitted.value, relayed) : admitted.value,
      body.value,
      memory,
      res,
      startedAtMs,
      arrival.onWork,
    )
  }

  return {
    stopAdmission,
    get inFlight() {
      return inFlight
    },
    handle(req, res, arrival = {}) {
      inFlight += 1
      res.once('close', () => {
        inFlight -= 1
      })
      handleRequest(req, res, arrival).catch((error: unknown) => {
        metrics.recordException()
        log.write(LogEvent.RequestFailed, {
          request: protocol.decodeRequest(req).attemptId,
          reason: error instanceof Error ? error.stack : String(error),
        })
        if (!res.writableEnded)
          sendFailure(res, failures.internal, arrival.relayed !== undefined)
      })
    },
    refuse(req, res) {
      logRefused(protocol.decodeRequest(req), failures.tooManyRequests)
      refuseRequest(req, res, failures.tooManyRequests, false)
    },
    abortRequests() {
      for (const aborter of aborters) aborter.abort()
    },
  }
}
