import type { ServerResponse } from 'node:http'
import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import { createHeaderTimeout } from '../limits/createHeaderTimeout.js'
import type { RetryBudget } from '../limits/createRetryBudget.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { HarmfulParts } from '../prompts/createHarmfulParts.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { TargetSelector } from '../routing/createTargetSelector.js'
import type { Placement } from '../routing/placement.js'
import type {
  TargetResponse,
  TargetClient,
} from '../targets/createTargetClient.js'
import type { Target } from '../targets/target.js'
import { targetIncarnation } from '../targets/targetIncarnation.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import type { DispatchOutcome } from './dispatchOutcome.js'
import {
  type CallProgress,
  canRetry,
  canRetryAfterTimeout,
  createCallProgress,
  MIN_REMAINING_MS,
  resolveFailure,
} from './callProgress.js'
import { createFailureHandler } from './createFailureHandler.js'
import { createNotRunExplainer } from './createNotRunExplainer.js'
import { createResponseRelay } from './createResponseRelay.js'
import { loggedPartIds } from './loggedPartIds.js'
import { createRetryCharger } from './createRetryCharger.js'
import { NextStep } from './nextStep.js'
import { failures } from './failures.js'
import { RelayOutcome } from './relayOutcome.js'
import { sharedPartIds } from './sharedPartIds.js'
import { targetSendOf } from './targetSendOf.js'
import { waitForCacheLocation } from './waitForCacheLocation.js'

/** Maximum number of sends of one request, including refused and undelivered ones. */
const MAX_SENDS = 4
const MIN_FAILURE_STATUS = 300
const MIN_SERVER_ERROR_STATUS = 500
const MS_PER_S = 1_000

/** Options for {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly load: FleetLoad
  readonly selector: TargetSelector
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly harmfulParts: HarmfulParts
  readonly retryBudgetFor: (service: string) => RetryBudget
  /** Returns the milliseconds until the cache locations of a starting router are complete; 0 once they are. */
  readonly recoveryMs: () => number
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Sends calls to targets, retries them and forwards the responses to callers. */
export interface Dispatcher {
  dispatch(call: Call, res: ServerResponse): Promise<DispatchOutcome>
}

/** Creates a dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const headerTimeout = createHeaderTimeout()
  const retryCharger = createRetryCharger(options)
  const handleFailure = createFailureHandler(options)
  const explainNotRun = createNotRunExplainer(options)
  const { load, selector, health, stallDetector, client, log, metrics, now } =
    options
  const { harmfulParts } = options

  function headerTimeoutMs(
    call: Call,
    progress: CallProgress,
    sentAtMs: number,
  ): number {
    const remainingMs = call.deadlineAtMs - sentAtMs
    if (!canRetryAfterTimeout(call, progress)) return remainingMs
    const { name, targetLatencyMs } = call.route
    return Math.min(remainingMs, headerTimeout.timeoutMs(name, targetLatencyMs))
  }

  // A server error of the target is forwarded unless the call can be retried elsewhere.
  function shouldRetryServerError(
    call: Call,
    progress: CallProgress,
    { head }: TargetResponse,
  ): boolean {
    if (head.status < MIN_SERVER_ERROR_STATUS || progress.relay.headersSent)
      return false
    if (!canRetry(call, progress)) return false
    return selector.select(call, progress) !== undefined
  }

  async function handleResponse(
    call: Call,
    target: Target,
    progress: CallProgress,
    response: TargetResponse,
  ): Promise<NextStep> {
    const { status } = response.head
    progress.possibleRuns += 1
    progress.verdict = Verdict.Ran
    const isError = status >= MIN_SERVER_ERROR_STATUS
    const isSuccess = status < MIN_FAILURE_STATUS
    const outcome = isError ? TargetOutcome.Failure : TargetOutcome.Success
    health.recordOutcome(target, outcome, now())
    if (
      shouldRetryServerError(call, progress, response) &&
      retryCharger.tryCharge(call, progress.sends, `status-${status}`)
    ) {
      response.res.resume()
      return NextStep.RetryCharged
    }
    const isAccepted = progress.relay.accepts(response)
    const relayOutcome = isAccepted
      ? await progress.relay.forward(response, () => {
          stallDetector.recordActivity(target.id, now())
        })
      : RelayOutcome.Broken
    const parts = sharedPartIds(call.request.promptParts)
    if (relayOutcome === RelayOutcome.Complete && isSuccess)
      harmfulParts.recordAnswered(parts)
    if (relayOutcome !== RelayOutcome.Broken) return NextStep.Done
    if (isAccepted && isSuccess && progress.relay.endedAtStart)
      harmfulParts.recordCrash(call.request.attemptId, {
        target: targetIncarnation(target),
        sentAtMs: progress.sentAtMs,
        crashedAtMs: now(),
        parts,
      })
    if (progress.relay.lastEventId !== undefined)
      progress.softwareVersion ??= target.softwareVersion
    response.res.destroy()
    health.recordOutcome(target, TargetOutcome.Failure, now())
    progress.lastCause = TargetFailureCause.Broken
    log.write(LogEvent.RequestSent, {
      request: call.request.attemptId,
      target: target.id,
      targetVersion: target.softwareVersion,
      send: progress.sends,
      cause: TargetFailureCause.Broken,
      reason: 'truncated response',
      lastEvent: progress.relay.lastEventId,
      parts: loggedPartIds(call.request.promptParts),
    })
    return canRetry(call, progress) ? NextStep.Retry : NextStep.Done
  }

  async function sendTo(
    call: Call,
    placement: Placement,
    progress: CallProgress,
  ): Promise<NextStep> {
    const { target, prefillTokens } = placement
    progress.placement = placement
    progress.tried.add(target.id)
    progress.sends += 1
    const sentAtMs = now()
    progress.sentAtMs = sentAtMs
    load.recordStart(target.id, prefillTokens)
    metrics.recordPlacement(call.service, placement.reason, prefillTokens)
    selector.recordSent(call, target)
    stallDetector.recordSent(target.id, sentAtMs)
    try {
      const result = await client.send(
        targetSendOf(call, placement, {
          sentAtMs,
          headerTimeoutMs: headerTimeoutMs(call, progress, sentAtMs),
          lastEventId: progress.relay.lastEventId,
        }),
      )
      load.releasePromptTokens(target.id, prefillTokens)
      if (result.isErr()) {
        if (result.error.verdict === Verdict.NotRun)
          selector.recordNotRun(call, placement, result.error.cause)
        return handleFailure(call, target, progress, result.error)
      }
      const headMs = now() - sentAtMs
      headerTimeout.recordHeaderTime(call.route.name, headMs)
      metrics.recordResponseHead(call.service, headMs / MS_PER_S)
      stallDetector.recordActivity(target.id, now())
      return await handleResponse(call, target, progress, result.value)
    } finally {
      load.recordEnd(target.id)
      stallDetector.recordEnd(target.id)
    }
  }

  function failureOf(call: Call, progress: CallProgress): RequestFailure {
    const failure = resolveFailure(call, progress, now())
    const mayExplain =
      progress.verdict === Verdict.NotRun && failure !== failures.deadlinePassed
    if (!mayExplain) return failure
    return explainNotRun(call, progress) ?? failure
  }

  async function dispatch(
    call: Call,
    res: ServerResponse,
  ): Promise<DispatchOutcome> {
    const relay = createResponseRelay(call, res, options.protocol)
    const progress = createCallProgress(relay, call)
    options.retryBudgetFor(call.service).recordFirstAttempt(now())
    await waitForCacheLocation(call, {
      isLocated: (located) => selector.isLocated(located),
      recoveryMs: options.recoveryMs,
    })

    const parts = sharedPartIds(call.request.promptParts)
    while (progress.sends < MAX_SENDS && !call.signal.aborted) {
      if (call.deadlineAtMs - now() < MIN_REMAINING_MS) break
      progress.harmfulPart = harmfulParts.find(parts)
      if (progress.harmfulPart) break
      const placement = selector.select(call, progress)
      if (!placement) break
      const next = await sendTo(call, placement, progress)
      if (next === NextStep.Done) break
      const cause = progress.lastCause ?? 'unknown'
      if (
        next === NextStep.Retry &&
        !retryCharger.tryCharge(call, progress.sends, cause)
      )
        break
    }
    const { sends, placement } = progress
    return {
      sends,
      ...(placement && { placement }),
      ...(!res.writableEnded && {
        failure: failureOf(call, progress),
      }),
    }
  }

  return { dispatch }
}
