import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { Reachability } from '../health/createReachability.js'
import type { StallDetector } from '../health/createStallDetector.js'
import { createHeaderTimeout } from '../limits/createHeaderTimeout.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { TargetSelector } from '../routing/targetSelector.js'
import type { Placement } from '../routing/placement.js'
import type { TargetClient } from '../targets/createTargetClient.js'
import type { Call } from './call.js'
import { type CallProgress, canRetryAfterTimeout } from './callProgress.js'
import type { FailureHandler } from './createFailureHandler.js'
import type { ResponseHandler } from './createResponseHandler.js'
import type { NextStep } from './nextStep.js'
import { targetSendOf } from './targetSendOf.js'

const MS_PER_S = 1_000

/** Options for {@link createTargetSender}. */
export interface TargetSenderOptions {
  readonly load: FleetLoad
  readonly selector: TargetSelector
  readonly stallDetector: StallDetector
  readonly reachability: Reachability
  readonly client: TargetClient
  readonly handleFailure: FailureHandler
  readonly handleResponse: ResponseHandler
  readonly metrics: RouterMetrics
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Sends a call to the target of a placement; returns what follows. */
export type TargetSender = (
  call: Call,
  placement: Placement,
  progress: CallProgress,
) => Promise<NextStep>

/** Creates a sender. */
export function createTargetSender(options: TargetSenderOptions): TargetSender {
  const { load, selector, stallDetector, reachability } = options
  const { client, metrics, now } = options
  const headerTimeout = createHeaderTimeout()

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

  return async (call, placement, progress) => {
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
        return options.handleFailure(call, target, progress, result.error)
      }
      reachability.recordResponse()
      const headMs = now() - sentAtMs
      headerTimeout.recordHeaderTime(call.route.name, headMs)
      metrics.recordResponseHead(call.service, headMs / MS_PER_S)
      stallDetector.recordActivity(target.id, now())
      return await options.handleResponse(call, target, progress, result.value)
    } finally {
      load.recordEnd(target.id)
      stallDetector.recordEnd(target.id)
    }
  }
}
