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
import { createResponseRelay } from './createResponseRelay.js'
import { limitToDeadline } from './limitToDeadline.js'
import type { RoutedRequest } from './routedRequest.js'

/** Options for {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly admission: Pick<Admission, 'admit'>
  readonly claims: Claims
  readonly routing: Pick<Routing, 'selectTarget'>
  readonly targets: TargetClient
  readonly tracing: Tracing
  readonly retries: Retries
  readonly metrics: Metrics
}

/** Sends validated requests to targets and relays the responses. */
export interface Dispatcher {
  /** Responds on `res`, or returns the failure while nothing has been written. */
  dispatch(
    request: RoutedRequest,
    res: ServerResponse,
    parent: Context,
  ): Promise<Result<void, RequestFailure>>
}

/** Attempts per request, including the first one. */
const MAX_ATTEMPTS = 3

/** Creates the dispatcher: admission, claim, attempts with retries, relay. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { admission, claims, tracing, retries } = options
  const sendAttempt = createAttempt(options)
  const relay = createResponseRelay(options)

  async function sendWithRetries(
    request: RoutedRequest,
    parent: Context,
  ): Promise<Result<Attempt, RequestFailure>> {
    const exclude = new Set<string>()
    let verdict = Verdict.NotRun
    retries.recordFirstAttempt(request)
    for (let attempts = 1; ; attempts += 1) {
      const result = await sendAttempt(request, exclude, parent, attempts > 1)
      if (result.isOk()) return result
      verdict = combineVerdicts(verdict, result.error.verdict)
      if (attempts < MAX_ATTEMPTS && retries.tryAcquire(request, result.error))
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

  async function dispatchWithinDeadline(
    request: RoutedRequest,
    res: ServerResponse,
    parent: Context,
  ): Promise<Result<void, RequestFailure>> {
    const queueSpan = tracing.startSpan(
      Hop.Queue,
      parent,
      spanAttributes(request),
    )
    const admitted = await admission.admit(request)
    if (admitted.isErr())
      queueSpan.setAttributes({ verdict: admitted.error.verdict })
    queueSpan.end(admitted.isErr() ? admitted.error.message : undefined)
    if (admitted.isErr()) return err(admitted.error)
    try {
      const claimed = await claimIfNeeded(request, parent)
      if (claimed.isErr()) return err(claimed.error)
      const result = await sendWithRetries(request, parent)
      if (result.isErr()) {
        claimed.value?.recordFailure(result.error.verdict)
        return err(result.error)
      }
      const { slot, response } = result.value
      claimed.value?.recordStatus(response.status)
      try {
        await relay({ request, res, slot, response, parent })
      } finally {
        slot.release()
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
        return await dispatchWithinDeadline(limited.request, res, parent)
      } finally {
        limited.release()
      }
    },
  }
}
