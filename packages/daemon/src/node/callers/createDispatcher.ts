import type { ServerResponse } from 'node:http'
import type { Context } from '@opentelemetry/api'
import { combineVerdicts, type RequestFailure, Verdict } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { Admission } from '../admission/admission.js'
import type { Claims, WonClaim } from '../claims/claims.js'
import type { Retries } from '../limits/createRetries.js'
import type { Metrics } from '../metrics/metrics.js'
import type { Routing } from '../routing/routing.js'
import type { TargetClient } from '../targets/targetClient.js'
import { Hop, type Tracing } from '../tracing/createTracing.js'
import { spanAttributes } from '../tracing/spanAttributes.js'
import { type Attempt, createAttempt } from './createAttempt.js'
import { createRelay } from './createRelay.js'
import { limitToDeadline } from './limitToDeadline.js'
import type { RoutedRequest } from './routedRequest.js'

/** The parts that a request passes through. */
export interface DispatcherOptions {
  readonly admission: Pick<Admission, 'admit'>
  readonly claims: Claims
  readonly routing: Pick<Routing, 'selectTarget'>
  readonly targets: TargetClient
  readonly tracing: Tracing
  readonly retries: Retries
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

const MAX_TRIES = 3

/** Creates the path from the queue to the target and back. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { admission, claims, tracing, retries } = options
  const tryOnce = createAttempt(options)
  const relay = createRelay(options)

  async function attempt(
    request: RoutedRequest,
    parent: Context,
  ): Promise<Result<Attempt, RequestFailure>> {
    const exclude = new Set<string>()
    let verdict = Verdict.NotRun
    retries.recordFirstAttempt(request)
    for (let tries = 1; ; tries += 1) {
      const result = await tryOnce(request, exclude, parent, tries > 1)
      if (result.isOk()) return result
      verdict = combineVerdicts(verdict, result.error.verdict)
      if (tries < MAX_TRIES && retries.tryAcquire(request, result.error))
        continue
      return err({ ...result.error, verdict })
    }
  }

  async function claimIfNeeded(
    request: RoutedRequest,
    parent: Context,
  ): Promise<Result<WonClaim | undefined, RequestFailure>> {
    const { idempotent, idempotencyKey } = request
    if (idempotent || idempotencyKey === undefined) return ok(undefined)
    const span = tracing.startSpan(Hop.Claim, parent)
    const claimed = await claims.claim(request, idempotencyKey)
    span.end(claimed.isErr() ? claimed.error.message : undefined)
    return claimed
  }

  async function dispatchInTime(
    request: RoutedRequest,
    res: ServerResponse,
    parent: Context,
  ): Promise<Result<void, RequestFailure>> {
    const queueing = tracing.startSpan(
      Hop.Queue,
      parent,
      spanAttributes(request),
    )
    const admitted = await admission.admit(request)
    if (admitted.isErr())
      queueing.setAttributes({ verdict: admitted.error.verdict })
    queueing.end(admitted.isErr() ? admitted.error.message : undefined)
    if (admitted.isErr()) return err(admitted.error)
    try {
      const claimed = await claimIfNeeded(request, parent)
      if (claimed.isErr()) return err(claimed.error)
      const result = await attempt(request, parent)
      if (result.isErr()) {
        claimed.value?.recordFailure(result.error.verdict)
        return err(result.error)
      }
      const { placement, reply } = result.value
      claimed.value?.recordStatus(reply.status)
      try {
        await relay({ request, res, placement, reply, parent })
      } finally {
        placement.release()
      }
      return ok(undefined)
    } finally {
      admitted.value.release()
    }
  }

  return {
    async dispatch(original, res, parent) {
      const limited = limitToDeadline(original)
      try {
        return await dispatchInTime(limited.request, res, parent)
      } finally {
        limited.release()
      }
    },
  }
}
