import type { ServerResponse } from 'node:http'
import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { combineVerdicts } from '@auburnbay/core/verdict/attemptProgress'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { RequestKind } from '../configuration/requestKind.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { RetryAllowance } from '../limits/createRetryAllowance.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import { affinityKey } from '../routing/affinityKey.js'
import { choosePlace } from '../routing/choosePlace.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { Placements } from '../routing/createPlacements.js'
import type { TargetAnswer, TargetClient } from '../targets/createTargetClient.js'
import type { TargetView } from '../targets/createTargetView.js'
import type { Target } from '../targets/target.js'
import {
  type TargetFailure,
  TargetFailureCause,
} from '../targets/targetFailure.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { type AnswerRelay, createAnswerRelay } from './createAnswerRelay.js'
import { failures } from './failures.js'
import { RelayEnd } from './relayEnd.js'

/** Milliseconds for which a target that cannot be reached gets no work. */
const UNREACHABLE_AVOIDED_MS = 1_000
/** Milliseconds for which a target that refused gets no work. */
const REFUSED_AVOIDED_MS = 150
/** Sends of one request that targets may refuse or that reach none. */
const MAX_SENDS = 4
/** Least time that is worth a send, in milliseconds. */
const MIN_REMAINING_MS = 5
/** Target latencies after which a silent send of a repeatable request is given up. */
const PATIENCE_LATENCIES = 3
const SERVER_ERROR_FROM = 500

/** What the dispatcher works with. */
export interface DispatcherOptions {
  readonly view: TargetView
  readonly load: FleetLoad
  readonly placements: Placements
  /** Whether a service's targets fetch cached prompts from each other. */
  readonly sharesCache: (service: string) => boolean
  readonly health: TargetHealth
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly allowanceOf: (service: string) => RetryAllowance
  readonly log: DecisionLog
  readonly metrics: RouterMetrics
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Sends calls to targets and their answers to callers. */
export interface Dispatcher {
  /** Resolves with the failure to tell the caller, or nothing once answered. */
  dispatch(call: Call, res: ServerResponse): Promise<RequestFailure | undefined>
}

/** Whether the call goes on after a send. */
enum Next {
  Done = 'done',
  OtherTarget = 'other-target',
}

/** What the sends of one call have come to. */
interface Progress {
  readonly relay: AnswerRelay
  readonly tried: Set<string>
  /** Sends that may have run. */
  runs: number
  sends: number
  verdict: Verdict
  lastCause?: TargetFailureCause
}

/** Creates a dispatcher. */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { view, load, placements, health, client, log, metrics, now } = options

  function isRepeatable({ route }: Call): boolean {
    return (
      route.kind === RequestKind.Idempotent ||
      (route.kind === RequestKind.Stream && route.resumable)
    )
  }

  function mayRunAgain(call: Call, { relay, runs }: Progress): boolean {
    if (!relay.replaceable) return false
    return isRepeatable(call) && runs < call.route.maxAttempts
  }

  function keyOf({ request, route }: Call): string | undefined {
    return route.cachesPrompts ? affinityKey(request.promptParts) : undefined
  }

  /** Returns a target that holds the call's prompt, where the one chosen does not. */
  function findSource(call: Call, chosen: Target): Target | undefined {
    const key = keyOf(call)
    if (key === undefined || !options.sharesCache(call.service)) return undefined
    const holders = placements.holders(key)
    if (holders.includes(chosen.id)) return undefined
    for (const id of holders) {
      const holder = view.find(id)
      if (holder) return holder
    }
    return undefined
  }

  function place(call: Call, tried: ReadonlySet<string>): Target | undefined {
    const nowMs = now()
    const ready = view.ready(call.service, nowMs)
    const untried = ready.filter(({ id }) => !tried.has(id))
    const eligible = health.eligible(call.service, ready, nowMs)
    const open = eligible.filter(({ id }) => !tried.has(id))
    const key = keyOf(call)
    return choosePlace({
      targets: open.length > 0 ? open : untried,
      load: (id) => load.total(id, nowMs),
      spread: call.request.attemptId,
      holders: key === undefined ? [] : placements.holders(key),
      ...(key !== undefined && { affinity: key }),
    })
  }

  function patienceMs(call: Call, progress: Progress): number {
    const remainingMs = call.dueAtMs - now()
    const again = progress.runs + 1 < call.route.maxAttempts
    if (!isRepeatable(call) || !again) return remainingMs
    const patience = PATIENCE_LATENCIES * call.route.targetLatencyMs
    return Math.min(remainingMs, patience)
  }

  function judge(target: Target, failure: TargetFailure): void {
    const nowMs = now()
    switch (failure.cause) {
      case TargetFailureCause.Aborted:
        return
      case TargetFailureCause.Refused:
        health.avoid(target.id, REFUSED_AVOIDED_MS, nowMs)
        return
      case TargetFailureCause.Unreachable:
      case TargetFailureCause.WrongTarget:
        health.avoid(target.id, UNREACHABLE_AVOIDED_MS, nowMs)
        client.condemn(target)
        return
      case TargetFailureCause.Broken:
      case TargetFailureCause.Silent:
      case TargetFailureCause.ForeignAnswer:
      case TargetFailureCause.Unsigned:
        health.record(target, TargetOutcome.Failure, nowMs)
    }
  }

  function failed(
    call: Call,
    target: Target,
    progress: Progress,
    failure: TargetFailure,
  ): Next {
    judge(target, failure)
    progress.verdict = combineVerdicts(progress.verdict, failure.verdict)
    progress.lastCause = failure.cause
    if (failure.verdict !== Verdict.NotRun) progress.runs += 1
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
    return mayRunAgain(call, progress) ? Next.OtherTarget : Next.Done
  }

  // A failure that the target reports itself is passed on where it may not run again.
  function isWorthAnother(
    call: Call,
    progress: Progress,
    { head }: TargetAnswer,
  ): boolean {
    if (head.status < SERVER_ERROR_FROM || progress.relay.begun) return false
    return mayRunAgain(call, progress) && view.ready(call.service, now()).length > 1
  }

  async function answered(
    call: Call,
    target: Target,
    progress: Progress,
    answer: TargetAnswer,
  ): Promise<Next> {
    const { status } = answer.head
    progress.runs += 1
    progress.verdict = Verdict.Ran
    const isError = status >= SERVER_ERROR_FROM
    const outcome = isError ? TargetOutcome.Failure : TargetOutcome.Success
    health.record(target, outcome, now())
    if (
      isWorthAnother(call, progress, answer) &&
      options.allowanceOf(call.service).take(now())
    ) {
      answer.res.resume()
      metrics.resent(call.service, `status-${status}`)
      return Next.OtherTarget
    }
    const end = progress.relay.fits(answer)
      ? await progress.relay.relay(answer)
      : RelayEnd.Broken
    if (end !== RelayEnd.Broken) return Next.Done
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
    return mayRunAgain(call, progress) ? Next.OtherTarget : Next.Done
  }

  async function attempt(
    call: Call,
    target: Target,
    progress: Progress,
  ): Promise<Next> {
    progress.tried.add(target.id)
    progress.sends += 1
    const { customer, route, signal } = call
    const lastEventId = progress.relay.lastEventId
    const sentAtMs = now()
    const key = keyOf(call)
    const fetchFrom = findSource(call, target)
    load.started(target.id)
    try {
      const result = await client.send({
        call,
        signal,
        patienceMs: patienceMs(call, progress),
        orders: {
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
      if (result.isErr()) return failed(call, target, progress, result.error)
      if (key !== undefined) placements.placed(key, target.id)
      metrics.headSeen(call.service, (now() - sentAtMs) / 1_000)
      return await answered(call, target, progress, result.value)
    } finally {
      load.ended(target.id)
    }
  }

  function failureOf(call: Call, progress: Progress): RequestFailure {
    if (progress.verdict === Verdict.NotRun) {
      if (call.dueAtMs - now() < MIN_REMAINING_MS) return failures.expiredUnsent
      return progress.sends === 0 ? failures.noTarget : failures.targetsRefused
    }
    const isLate =
      call.signal.aborted || progress.lastCause === TargetFailureCause.Silent
    return isLate ? failures.overdue : failures.targetFailed
  }

  async function dispatch(
    call: Call,
    res: ServerResponse,
  ): Promise<RequestFailure | undefined> {
    const progress: Progress = {
      relay: createAnswerRelay(call, res, options.protocol),
      tried: new Set(),
      runs: 0,
      sends: 0,
      verdict: Verdict.NotRun,
    }
    const allowance = options.allowanceOf(call.service)
    allowance.noteRequest(now())
    while (progress.sends < MAX_SENDS && !call.signal.aborted) {
      if (call.dueAtMs - now() < MIN_REMAINING_MS) break
      const target = place(call, progress.tried)
      if (!target) break
      const isResend = progress.sends > 0
      const isPaid = progress.lastCause === undefined
      if (isResend && !isPaid && !allowance.take(now())) break
      if (isResend && progress.lastCause !== undefined)
        metrics.resent(call.service, progress.lastCause)
      const next = await attempt(call, target, progress)
      if (next === Next.Done) break
    }
    return res.writableEnded ? undefined : failureOf(call, progress)
  }

  return { dispatch }
}
