import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import { combineVerdicts } from '@auburnbay/core/verdict/attemptProgress'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { classifyFailure } from '../health/classifyFailure.js'
import type { Reachability } from '../health/createReachability.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetLimits } from '../limits/createTargetLimits.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { TargetClient } from '../targets/createTargetClient.js'
import type { Target } from '../targets/target.js'
import {
  type TargetFailure,
  TargetFailureCause,
} from '../targets/targetFailure.js'
import type { Call } from './call.js'
import { type CallProgress, canRetry } from './callProgress.js'
import { BreakPoint, type CrashReporter } from './createCrashReporter.js'
import { loggedPartIds } from './loggedPartIds.js'
import { NextStep } from './nextStep.js'

/** Milliseconds for which a brittle target that refused a request gets no others: it counts refusals per second. */
const BRITTLE_AVOID_MS = 1_000

/** Options for {@link createFailureHandler}. */
export interface FailureHandlerOptions {
  readonly health: TargetHealth
  readonly reachability: Reachability
  readonly client: TargetClient
  readonly limits: TargetLimits
  readonly reportCrash: CrashReporter
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Records a send without a response that may be forwarded; returns what follows it. */
export type FailureHandler = (
  call: Call,
  target: Target,
  progress: CallProgress,
  failure: TargetFailure,
) => NextStep

/** Creates a failure handler. */
export function createFailureHandler(
  options: FailureHandlerOptions,
): FailureHandler {
  const { health, reachability, client, limits, log, now } = options
  return (call, target, progress, failure) => {
    const handling = classifyFailure(failure.cause)
    if (handling.countsAgainstHealth)
      health.recordOutcome(target, TargetOutcome.Failure, now())
    const isRefused = failure.cause === TargetFailureCause.Refused
    const avoidMs =
      isRefused && limits.isBrittle(target.id)
        ? BRITTLE_AVOID_MS
        : handling.avoidMs
    if (avoidMs > 0) health.avoid(target.id, avoidMs, now())
    if (handling.retiresConnections) client.retireConnections(target)
    if (failure.cause === TargetFailureCause.Unreachable) {
      health.recordUnreachable(target.id, now())
      limits.recordUnreachable(target)
      reachability.recordUnreachable(target.id)
    }
    progress.verdict = combineVerdicts(progress.verdict, failure.verdict)
    progress.lastCause = failure.cause
    if (failure.verdict !== Verdict.NotRun) {
      progress.possibleRuns += 1
      if (failure.cause === TargetFailureCause.Broken)
        options.reportCrash(call, target, progress, BreakPoint.Start)
    }
    log.write(LogEvent.RequestSent, {
      request: call.request.attemptId,
      target: target.id,
      send: progress.sends,
      verdict: failure.verdict,
      cause: failure.cause,
      reason: failure.message,
      fingerprint: progress.fingerprint,
      parts: loggedPartIds(call.request.promptParts),
    })
    if (failure.cause === TargetFailureCause.Aborted) return NextStep.Done
    if (failure.verdict === Verdict.NotRun) return NextStep.Retry
    return canRetry(call, progress) ? NextStep.Retry : NextStep.Done
  }
}
