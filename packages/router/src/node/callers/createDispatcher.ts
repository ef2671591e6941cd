import type { ServerResponse } from 'node:http'
import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import { combineVerdicts } from '@auburnbay/core/verdict/attemptProgress'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import { classifyFailure } from '../health/classifyFailure.js'
import { createHeaderTimeout } from '../limits/createHeaderTimeout.js'
import type { RetryBudget } from '../limits/createRetryBudget.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { TargetSelector } from '../routing/createTargetSelector.js'
import type {
  TargetResponse,
  TargetClient,
} from '../targets/createTargetClient.js'
import type { Target } from '../targets/target.js'
import {
  type TargetFailure,
  TargetFailureCause,
} from '../targets/targetFailure.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import type { DispatchOutcome } from './dispatchOutcome.js'
import {
  type CallProgress,
  createCallProgress,
  resolveFailure,
  canRetry,
  canRetryAfterTimeout,
  MIN_REMAINING_MS,
} from './callProgress.js'
import { createResponseRelay } from './createResponseRelay.js'
import { RelayOutcome } from './relayOutcome.js'

/** Sends of one request that targets may refuse or that reach none. */
const MAX_SENDS = 4
const SERVER_ERROR_FROM = 500
const MS_PER_S = 1_000

/** What the dispatcher works with. */
export interface DispatcherOptions {
  readonly load: FleetLoad
  readonly placer: TargetSelector
  readonly health: TargetHealth
  readonly silence: StallDetector
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly allowanceOf: (service: string) => RetryBudget
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Sends calls to targets and their answers to callers. */
export interface Dispatcher {
  dispatch(call: Call, res: ServerResponse): Promise<DispatchOutcome>
}

/** Whether the call goes on after a send. */
enum Next {
  Done = 'done',
  OtherTarget = 'other-target',
  /** As above; the retry allowance has been asked already. */
  OtherTargetPaid = 'other-target-paid',
}

/** Creates a dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const patience = createHeaderTimeout()
  const { load, placer, health, silence, client, log, metrics, now } = options

  function patienceMs(
    call: Call,
    progress: CallProgress,
    sentAtMs: number,
  ): number {
    const remainingMs = call.dueAtMs - sentAtMs
    if (!canRetryAfterTimeout(call, progress)) return remainingMs
    const { name, targetLatencyMs } = call.route
    return Math.min(remainingMs, patience.timeoutMs(name, targetLatencyMs))
  }

  function failed(
    call: Call,
    target: Target,
    progress: CallProgress,
    failure: TargetFailure,
  ): Next {
    const advice = classifyFailure(failure.cause)
    if (advice.countsAgainstHealth)
      health.record(target, TargetOutcome.Failure, now())
    if (advice.avoidMs > 0) health.avoid(target.id, advice.avoidMs, now())
    if (advice.discardsConnections) client.discardConnections(target)
    progress.verdict = combineVerdicts(progress.verdict, failure.verdict)
    progress.lastCause = failure.cause
    if (failure.verdict !== Verdict.NotRun) progress.possibleRuns += 1
    log.write(LogEvent.RequestSent, {
      request: call.request.attemptId,
      target: target.id,
      send: progress.sends,
      verdict: failure.verdict,
      cause: failure.cause,
      reason: failure.message,
    })
    if (failure.cause === TargetFailureCause.Aborted) return Next.Done
    if (failure.verdict === Verdict.NotRun) return Next.OtherTarget
    return canRetry(call, progress) ? Next.OtherTarget : Next.Done
  }

  // A failure that the target reports itself is passed on where it may not run again.
  function isWorthAnother(
    call: Call,
    progress: CallProgress,
    { head }: TargetResponse,
  ): boolean {
    if (head.status < SERVER_ERROR_FROM || progress.relay.headersSent)
      return false
    if (!canRetry(call, progress)) return false
    return placer.select(call, progress.triedTargets) !== undefined
  }

  async function answered(
    call: Call,
    target: Target,
    progress: CallProgress,
    answer: TargetResponse,
  ): Promise<Next> {
    const { status } = answer.head
    progress.possibleRuns += 1
    progress.verdict = Verdict.Ran
    const isError = status >= SERVER_ERROR_FROM
    const outcome = isError ? TargetOutcome.Failure : TargetOutcome.Success
    health.record(target, outcome, now())
    if (
      isWorthAnother(call, progress, answer) &&
      options.allowanceOf(call.service).tryAcquire(now())
    ) {
      answer.res.resume()
      metrics.recordResend(call.service, `status-${status}`)
      return Next.OtherTargetPaid
    }
    const end = progress.relay.accepts(answer)
      ? await progress.relay.forward(answer, () => {
          silence.recordActivity(target.id, now())
        })
      : RelayOutcome.Broken
    if (end !== RelayOutcome.Broken) return Next.Done
    answer.res.destroy()
    health.record(target, TargetOutcome.Failure, now())
    progress.lastCause = TargetFailureCause.Broken
    log.write(LogEvent.RequestSent, {
      request: call.request.attemptId,
      target: target.id,
      send: progress.sends,
      cause: TargetFailureCause.Broken,
      reason: 'the answer broke off',
      lastEvent: progress.relay.lastEventId,
    })
    return canRetry(call, progress) ? Next.OtherTarget : Next.Done
  }

  async function attempt(
    call: Call,
    target: Target,
    progress: CallProgress,
  ): Promise<Next> {
    progress.triedTargets.add(target.id)
    progress.sends += 1
    const { customer, route, signal } = call
    const lastEventId = progress.relay.lastEventId
    const sentAtMs = now()
    const fetchFrom = placer.findCacheSource(call, target)
    const unreadTokens = placer.pendingPromptTokens(call, target)
    load.recordStart(target.id, unreadTokens)
    placer.recordSent(call, target)
    silence.recordSent(target.id, sentAtMs)
    try {
      const result = await client.send({
        call,
        signal,
        headerTimeoutMs: patienceMs(call, progress, sentAtMs),
        options: {
          target,
          bodyBytes: call.body.length,
          remainingMs: call.dueAtMs - sentAtMs,
          ...(customer && { customer: customer.name }),
          ...(route.cachesPrompts && {
            priority: customer?.priority ?? route.priority,
          }),
          ...(fetchFrom && { fetchFrom }),
          ...(lastEventId !== undefined && { lastEventId }),
        },
      })
      load.releasePromptTokens(target.id, unreadTokens)
      if (result.isErr()) {
        if (result.error.verdict === Verdict.NotRun)
          placer.recordNotRun(call, target)
        return failed(call, target, progress, result.error)
      }
      const headMs = now() - sentAtMs
      patience.recordHeaderTime(route.name, headMs)
      metrics.recordResponseHead(call.service, headMs / MS_PER_S)
      silence.recordActivity(target.id, now())
      return await answered(call, target, progress, result.value)
    } finally {
      load.recordEnd(target.id)
      silence.recordEnd(target.id)
    }
  }

  async function dispatch(
    call: Call,
    res: ServerResponse,
  ): Promise<DispatchOutcome> {
    const relay = createResponseRelay(call, res, options.protocol)
    const progress = createCallProgress(relay)
    const allowance = options.allowanceOf(call.service)
    allowance.recordRequest(now())

    function mayResend(): boolean {
      if (!allowance.tryAcquire(now())) return false
      metrics.recordResend(call.service, progress.lastCause ?? 'unknown')
      return true
    }

    while (progress.sends < MAX_SENDS && !call.signal.aborted) {
      if (call.dueAtMs - now() < MIN_REMAINING_MS) break
      const target = placer.select(call, progress.triedTargets)
      if (!target) break
      const next = await attempt(call, target, progress)
      if (next === Next.Done) break
      if (next === Next.OtherTarget && !mayResend()) break
    }
    const { sends } = progress
    const target = [...progress.triedTargets].at(-1)
    return {
      sends,
      ...(target !== undefined && { target }),
      ...(!res.writableEnded && {
        failure: resolveFailure(call, progress, now()),
      }),
    }
  }

  return { dispatch }
}
