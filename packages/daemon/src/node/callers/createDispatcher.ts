import type { ServerResponse } from 'node:http'
import type { Context } from '@opentelemetry/api'
import { type RequestFailure, Verdict } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { Admission } from '../admission/admission.js'
import type { Metrics } from '../metrics/metrics.js'
import type { Placement, Routing } from '../routing/routing.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetReply } from '../targets/targetReply.js'
import { Hop, type Tracing } from '../tracing/createTracing.js'
import { relayReply } from './relayReply.js'
import type { RoutedRequest } from './routedRequest.js'

/** The parts that a request passes through. */
export interface DispatcherOptions {
  readonly admission: Admission
  readonly routing: Routing
  readonly targets: TargetClient
  readonly tracing: Tracing
  readonly metrics: Metrics
}

/** Takes checked requests to targets and their answers back. */
export interface Dispatcher {
  /** Answers on `res`, or returns the failure when nothing was answered yet. */
  dispatch(
    request: RoutedRequest,
    res: ServerResponse,
    parent: Context,
  ): Promise<Result<void, RequestFailure>>
}

interface Attempt {
  readonly placement: Placement
  readonly reply: TargetReply
}

const MAX_TRIES = 3

function mayRetry(request: RoutedRequest, failure: RequestFailure): boolean {
  if (request.signal.aborted) return false
  if (failure.verdict === Verdict.NotRun) return true
  return failure.verdict === Verdict.MayHaveRun && request.idempotent
}

/** Creates the path from the queue to the target and back. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { admission, routing, targets, tracing, metrics } = options

  async function tryOnce(
    request: RoutedRequest,
    exclude: Set<string>,
    parent: Context,
  ): Promise<Result<Attempt, RequestFailure>> {
    const deciding = tracing.start(Hop.Decide, parent)
    const placed = await routing.place(request, exclude)
    deciding.end(placed.isErr() ? placed.error.message : undefined)
    if (placed.isErr()) return err(placed.error)
    const placement = placed.value
    exclude.add(placement.target.id)
    const sending = tracing.start(Hop.Target, parent, {
      target: placement.target.id,
    })
    const headers = tracing.inject(sending.context)
    const sent = await targets.send(placement.target, request, headers)
    if (sent.isErr()) {
      placement.release()
      sending.end(sent.error.message)
      return err(sent.error)
    }
    sent.value.body.once('close', () => {
      placement.release()
      sending.end()
    })
    return ok({ placement, reply: sent.value })
  }

  async function attempt(
    request: RoutedRequest,
    parent: Context,
  ): Promise<Result<Attempt, RequestFailure>> {
    const exclude = new Set<string>()
    let mayHaveRun = false
    for (let tries = 1; ; tries += 1) {
      const result = await tryOnce(request, exclude, parent)
      if (result.isOk()) return result
      mayHaveRun ||= result.error.verdict !== Verdict.NotRun
      if (tries < MAX_TRIES && mayRetry(request, result.error)) {
        metrics.count('retries', 1, { service: request.service })
        continue
      }
      const verdict = mayHaveRun ? Verdict.MayHaveRun : result.error.verdict
      return err({ ...result.error, verdict })
    }
  }

  return {
    async dispatch(request, res, parent) {
      const queueing = tracing.start(Hop.Queue, parent, { rank: request.rank })
      const admitted = await admission.enter(request)
      queueing.end(admitted.isErr() ? admitted.error.message : undefined)
      if (admitted.isErr()) return err(admitted.error)
      try {
        const result = await attempt(request, parent)
        if (result.isErr()) return err(result.error)
        const { placement, reply } = result.value
        await relayReply(res, placement, reply)
        return ok(undefined)
      } finally {
        admitted.value.release()
      }
    },
  }
}
