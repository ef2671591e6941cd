import {
  Agent,
  type IncomingMessage,
  type OutgoingHttpHeaders,
} from 'node:http'
import {
  AttemptProgress,
  FailureCode,
  REQUEST_ID_HEADER,
  ServiceKind,
  verdictOfAttempt,
} from '@auburnbay/core'
import {
  ConnectionPool,
  exchange,
  type ExchangeOptions,
  ExchangeError,
  type ExchangeFailure,
  requestJson,
} from '@auburnbay/http-utils'
import { err, ok, type Result } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { CANCEL_TIMEOUT_MS } from './constants.js'
import { headersToTarget } from './forwardedHeaders.js'
import { readWithIdleTimeout } from './readWithIdleTimeout.js'
import { createResponseValidator, runIdOf } from './responseValidator.js'
import type { TargetAddress, TargetClient } from './targetClient.js'
import type { TargetFailure } from './targetFailure.js'
import type { TargetResponse } from './targetResponse.js'

const EMPTY_BODY = Buffer.alloc(0)

const FAILURE_CODES: Readonly<Record<ExchangeError, FailureCode>> = {
  [ExchangeError.Broken]: FailureCode.TargetUnreachable,
  [ExchangeError.TimedOut]: FailureCode.TargetTimeout,
  [ExchangeError.Aborted]: FailureCode.DeadlinePassed,
  [ExchangeError.Withheld]: FailureCode.TargetUnreachable,
}

function requestHeaders(
  routed: RoutedRequest,
  traceHeaders: Record<string, string>,
): OutgoingHttpHeaders {
  return {
    ...headersToTarget(routed.headers),
    // Uncompressed, as the end of a compressed event stream cannot be detected.
    ...(routed.serviceKind === ServiceKind.Model
      ? { 'accept-encoding': 'identity' }
      : {}),
    ...traceHeaders,
    [REQUEST_ID_HEADER]: routed.id,
    'content-length': routed.body.length,
  }
}

function createTargetFailure(
  target: TargetAddress,
  failure: ExchangeFailure,
): TargetFailure {
  const verdict = verdictOfAttempt(failure.progress)
  const message = `${target.id}: ${failure.message}`
  const { reusedConnection } = failure
  return {
    ...createFailure(FAILURE_CODES[failure.error], message, verdict),
    reusedConnection,
  }
}

/** Creates a client that sends requests to targets. */
export function createTargetClient(
  settings: ResolvedSettings['targets'],
  /** Configures an agent, for example for TLS. */
  configureAgent: <T extends Agent>(agent: T) => T = (agent) => agent,
): TargetClient {
  const pool = configureAgent(new ConnectionPool(settings.pooledIdleMs))
  // Without keep-alive each request opens a new connection.
  const unpooled = configureAgent(new Agent({ keepAlive: false }))
  const validator = createResponseValidator()

  function createResponse(
    target: TargetAddress,
    body: IncomingMessage,
  ): TargetResponse {
    return {
      status: body.statusCode ?? 0,
      headers: body.headers,
      body,
      chunks: () =>
        readWithIdleTimeout(body, settings.idleTimeoutMs, () => {
          pool.retireConnections(target.address)
        }),
    }
  }

  async function sendExchange(
    target: TargetAddress,
    options: Omit<ExchangeOptions, 'url' | 'limits'> & { path: string },
  ): Promise<Result<IncomingMessage, TargetFailure>> {
    const result = await exchange({
      ...options,
      url: `http://${target.address}${options.path}`,
      limits: settings,
      onSocket: (socket) => {
        pool.recordConnection(socket, target.address)
      },
    })
    if (result.isOk()) return ok(result.value)
    const { error, progress } = result.error
    if (
      error === ExchangeError.TimedOut &&
      progress === AttemptProgress.Written
    )
      pool.retireConnections(target.address)
    return err(createTargetFailure(target, result.error))
  }

  function rejectResponse(
    target: TargetAddress,
    body: IncomingMessage,
    progress: AttemptProgress,
    reason: string,
  ): Result<never, TargetFailure> {
    // After a refusal the connection can be reused; after any other rejected
    // response it cannot.
    if (progress === AttemptProgress.Refused) body.resume()
    else body.destroy()
    const { TargetFailed } = FailureCode
    const message = `${target.id}: ${reason}`
    const verdict = verdictOfAttempt(progress)
    const failure = createFailure(TargetFailed, message, verdict)
    return err({ ...failure, reusedConnection: false })
  }

  return {
    async send(target, routed, traceHeaders, options = {}) {
      // A pooled connection may close while a request is being written to it,
      // so only idempotent requests use one.
      const needsNewConnection =
        !routed.idempotent || options.newConnection === true
      const result = await sendExchange(target, {
        agent: needsNewConnection ? unpooled : pool,
        method: routed.method,
        path: routed.path,
        headers: requestHeaders(routed, traceHeaders),
        body: routed.body,
        signal: routed.signal,
      })
      if (result.isErr()) return err(result.error)
      const body = result.value
      const rejected = validator.check(target.id, routed, body)
      if (!rejected) return ok(createResponse(target, body))
      return rejectResponse(target, body, rejected.progress, rejected.message)
    },

    async resume(target, routed, { runId, from }, traceHeaders) {
      const result = await sendExchange(target, {
        agent: unpooled,
        method: 'GET',
        path: `/v1/runs/${encodeURIComponent(runId)}/stream?from=${from}`,
        headers: { ...traceHeaders, [REQUEST_ID_HEADER]: routed.id },
        body: EMPTY_BODY,
        signal: routed.signal,
      })
      if (result.isErr()) return err(result.error)
      const body = result.value
      const { Written } = AttemptProgress
      if (body.statusCode !== 200)
        return rejectResponse(
          target,
          body,
          Written,
          'the run cannot be resumed',
        )
      if (runIdOf(body) !== runId)
        return rejectResponse(
          target,
          body,
          Written,
          'the target resumed another run',
        )
      return ok(createResponse(target, body))
    },

    cancel(target, runId) {
      void requestJson({
        method: 'DELETE',
        url: `http://${target.address}/v1/runs/${encodeURIComponent(runId)}`,
        timeoutMs: CANCEL_TIMEOUT_MS,
        agent: unpooled,
      })
    },

    close: () => {
      pool.destroy()
      unpooled.destroy()
    },
  }
}
