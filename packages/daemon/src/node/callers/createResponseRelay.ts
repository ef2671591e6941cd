import type { ServerResponse } from 'node:http'
import type { Context } from '@opentelemetry/api'
import { ServiceKind } from '@auburnbay/core'
import { countCacheUse } from '../metrics/countCacheUse.js'
import type { Metrics } from '../metrics/metrics.js'
import type { TargetSlot } from '../routing/routing.js'
import { runIdOf } from '../targets/responseValidator.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import { Hop, type Tracing } from '../tracing/createTracing.js'
import { spanAttributes } from '../tracing/spanAttributes.js'
import { isCloseDelimited, relayBody } from './relayBody.js'
import { relayEventStream, type ResumeStream } from './relayEventStream.js'
import type { RoutedRequest } from './routedRequest.js'
import { writeResponseHead } from './writeResponseHead.js'

/** A target's response and the caller to relay it to. */
export interface RelayCall {
  readonly request: RoutedRequest
  readonly res: ServerResponse
  readonly slot: TargetSlot
  readonly response: TargetResponse
  readonly parent: Context
}

/** Options for {@link createResponseRelay}. */
export interface ResponseRelayOptions {
  readonly targets: TargetClient
  readonly tracing: Tracing
  readonly metrics: Metrics
}

/** Relays a response; if it is truncated, aborts it for the caller and rejects. */
export type ResponseRelay = (call: RelayCall) => Promise<void>

function isEventStream({ request, response }: RelayCall): boolean {
  if (request.serviceKind !== ServiceKind.Model) return false
  if (response.headers['content-encoding'] !== undefined) return false
  return /^text\/event-stream\b/i.test(response.headers['content-type'] ?? '')
}

/**
 * Aborts a response so that the caller cannot mistake it for a complete one.
 *
 * Without framing, an ordinary close would look like the end of the body, so the
 * connection is reset.
 */
function abortResponse(res: ServerResponse, response: TargetResponse): void {
  const framed =
    res.chunkedEncoding || response.headers['content-length'] !== undefined
  if (framed || !res.socket) res.destroy()
  else res.socket.resetAndDestroy()
}

/** Creates the function that relays responses to callers. */
export function createResponseRelay(
  options: ResponseRelayOptions,
): ResponseRelay {
  const { targets, tracing, metrics } = options

  function createResume(call: RelayCall, runId: string): ResumeStream {
    const { request, slot, parent } = call
    const { target } = slot
    return async (from) => {
      const span = tracing.startSpan(Hop.Resume, parent, {
        ...spanAttributes(request),
        target: target.id,
        from,
      })
      const point = { runId, from }
      const headers = tracing.inject(span.context)
      const resumed = await targets.resume(target, request, point, headers)
      metrics.count('resumes', 1, { service: request.service })
      span.end(resumed.isErr() ? resumed.error.message : undefined)
      return resumed.isOk() ? resumed.value : undefined
    }
  }

  async function relayStream(call: RelayCall): Promise<void> {
    const { request, res, slot, response } = call
    const runId = runIdOf(response)
    const resume: ResumeStream =
      runId === undefined
        ? () =>
            Promise.reject(
              new Error('the response of the engine has no run id'),
            )
        : createResume(call, runId)
    try {
      await relayEventStream(res, response, resume, request.signal)
    } catch (error) {
      if (runId !== undefined) targets.cancel(slot.target, runId)
      throw error
    }
  }

  return async (call) => {
    const { request, res, slot, response } = call
    const isStream = isEventStream(call)
    if (!isStream && isCloseDelimited(request.method, response)) {
      // The target sent no length, so the response to the caller has none either
      // and ends with the connection.
      res.useChunkedEncodingByDefault = false
      res.shouldKeepAlive = false
    }
    countCacheUse(metrics, request, response)
    writeResponseHead(res, slot, response, isStream)
    try {
      if (isStream) await relayStream(call)
      else await relayBody(res, response)
    } catch (error) {
      response.body.destroy()
      abortResponse(res, response)
      throw error
    }
  }
}
