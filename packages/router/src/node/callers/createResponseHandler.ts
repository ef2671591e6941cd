import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import { drainBody } from '@auburnbay/http-utils/drainBody'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { HarmfulTraits } from '../crashes/createHarmfulTraits.js'
import type { TargetSelector } from '../routing/targetSelector.js'
import type { TargetResponse } from '../targets/createTargetClient.js'
import type { Target } from '../targets/target.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { Call } from './call.js'
import { type CallProgress, canRetry } from './callProgress.js'
import type { CrashReporter } from './createCrashReporter.js'
import type { RetryCharger } from './createRetryCharger.js'
import { loggedPartIds } from './loggedPartIds.js'
import { NextStep } from './nextStep.js'
import { RelayOutcome } from './relayOutcome.js'

const MIN_FAILURE_STATUS = 300
const MIN_SERVER_ERROR_STATUS = 500

/** Options for {@link createResponseHandler}. */
export interface ResponseHandlerOptions {
  readonly selector: TargetSelector
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  readonly harmfulTraits: HarmfulTraits
  readonly reportCrash: CrashReporter
  readonly retryCharger: RetryCharger
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Forwards a target's response to the caller, unless the call is retried; returns what follows it. */
export type ResponseHandler = (
  call: Call,
  target: Target,
  progress: CallProgress,
  response: TargetResponse,
) => Promise<NextStep>

/** Creates a response handler. */
export function createResponseHandler(
  options: ResponseHandlerOptions,
): ResponseHandler {
  const { selector, health, stallDetector, harmfulTraits, log, now } = options
  const { reportCrash, retryCharger } = options

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

  function forward(
    target: Target,
    { relay }: CallProgress,
    response: TargetResponse,
  ): Promise<RelayOutcome> {
    return relay.forward(response, () => {
      stallDetector.recordActivity(target.id, now())
    })
  }

  /** Handles a response that broke off or cannot follow what the caller has received. */
  function handleBroken(
    call: Call,
    target: Target,
    progress: CallProgress,
    { res }: TargetResponse,
  ): NextStep {
    const { lastEventId } = progress.relay
    res.destroy()
    health.recordOutcome(target, TargetOutcome.Failure, now())
    progress.lastCause = TargetFailureCause.Broken
    log.write(LogEvent.RequestSent, {
      request: call.request.attemptId,
      target: target.id,
      targetVersion: target.softwareVersion,
      send: progress.sends,
      cause: TargetFailureCause.Broken,
      reason: 'truncated response',
      lastEvent: lastEventId,
      fingerprint: progress.fingerprint,
      parts: loggedPartIds(call.request.promptParts),
    })
    return canRetry(call, progress) ? NextStep.Retry : NextStep.Done
  }

  return async (call, target, progress, response) => {
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
      drainBody(response.res)
      return NextStep.RetryCharged
    }
    const isAccepted = progress.relay.accepts(response)
    const relayOutcome = isAccepted
      ? await forward(target, progress, response)
      : RelayOutcome.Broken
    if (relayOutcome === RelayOutcome.Complete && isSuccess)
      harmfulTraits.recordAnswered(progress.traits)
    if (relayOutcome !== RelayOutcome.Broken) return NextStep.Done
    if (isAccepted && isSuccess)
      reportCrash(call, target, progress, progress.relay.breakPoint)
    return handleBroken(call, target, progress, response)
  }
}
