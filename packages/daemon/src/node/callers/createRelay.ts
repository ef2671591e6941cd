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
import { endsWithConnection, relayBody } from './relayBody.js'
import { relayEventStream, type ResumeStream } from './relayEventStream.js'
import type { RoutedRequest } from './routedRequest.js'
import { writeReplyHead } from './writeReplyHead.js'

/** An answer on its way from a target to a caller. */
export interface RelayCall {
  readonly request: RoutedRequest
  readonly res: ServerResponse
  readonly placement: TargetSlot
  readonly reply: TargetResponse
  readonly parent: Context
}

/** What passing answers on works with. */
export interface RelayOptions {
  readonly targets: TargetClient
  readonly tracing: Tracing
  readonly metrics: Metrics
}

/** Passes an answer on; rejects after breaking it off visibly when it is cut. */
export type Relay = (call: RelayCall) => Promise<void>

function isEventStream({ request, reply }: RelayCall): boolean {
  if (request.serviceKind !== ServiceKind.Model) return false
  if (reply.headers['content-encoding'] !== undefined) return false
  return /^text\/event-stream\b/i.test(reply.headers['content-type'] ?? '')
}

/** Breaks an answer off so that the caller cannot take it for whole. */
function breakOff(res: ServerResponse, reply: TargetResponse): void {
  const framed =
    res.chunkedEncoding || reply.headers['content-length'] !== undefined
  if (framed || !res.socket) res.destroy()
  else res.socket.resetAndDestroy()
}

/** Creates the step that passes answers on. */
export function createRelay(options: RelayOptions): Relay {
  const { targets, tracing, metrics } = options

  function resumeOf(call: RelayCall, runId: string): ResumeStream {
    const { request, placement, parent } = call
    const { target } = placement
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
    const { request, res, placement, reply } = call
    const runId = runIdOf(reply)
    const resume: ResumeStream =
      runId === undefined
        ? () => Promise.reject(new Error('the engine names no run'))
        : resumeOf(call, runId)
    try {
      await relayEventStream(res, reply, resume, request.signal)
    } catch (error) {
      if (runId !== undefined) targets.cancel(placement.target, runId)
      throw error
    }
  }

  return async (call) => {
    const { request, res, placement, reply } = call
    const streams = isEventStream(call)
    if (!streams && endsWithConnection(request.method, reply)) {
      // The caller is told as little of the length as the target told.
      res.useChunkedEncodingByDefault = false
      res.shouldKeepAlive = false
    }
    countCacheUse(metrics, request, reply)
    writeReplyHead(res, placement, reply, streams)
    try {
      if (streams) await relayStream(call)
      else await relayBody(res, reply)
    } catch (error) {
      reply.body.destroy()
      breakOff(res, reply)
      throw error
    }
  }
}
