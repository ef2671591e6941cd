import type { ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import type { ServiceAdmissions } from '../admission/createServiceAdmissions.js'
import type { Reachability } from '../health/createReachability.js'
import type { StallDetector } from '../health/createStallDetector.js'
import type { TargetHealth } from '../health/createTargetHealth.js'
import type { TargetLimits } from '../limits/createTargetLimits.js'
import type { RetryBudget } from '../limits/createRetryBudget.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { HarmfulTraits } from '../crashes/createHarmfulTraits.js'
import type { PeerRelay } from '../peers/createPeerRelay.js'
import type { Peer } from '../peers/createPeerTable.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { TargetSelector } from '../routing/targetSelector.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import type { TargetClient } from '../targets/createTargetClient.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import {
  type CallProgress,
  createCallProgress,
  MIN_REMAINING_MS,
  resolveFailure,
} from './callProgress.js'
import { createCrashConfirmation } from '../crashes/createCrashConfirmation.js'
import { connectsTo } from '../health/connectsTo.js'
import type { TargetList } from '../targets/createTargetList.js'
import { createCrashReporter } from './createCrashReporter.js'
import { createFailureHandler } from './createFailureHandler.js'
import { createNotRunExplainer } from './createNotRunExplainer.js'
import { createPeerSender } from './createPeerSender.js'
import { createResponseHandler } from './createResponseHandler.js'
import { createResponseRelay } from './createResponseRelay.js'
import { createRetryCharger } from './createRetryCharger.js'
import { createTargetSender } from './createTargetSender.js'
import type { DispatchOutcome } from './dispatchOutcome.js'
import { failures } from './failures.js'
import { NextStep } from './nextStep.js'
import { waitForCacheLocation } from './waitForCacheLocation.js'

/** Maximum number of sends of one request, including refused and undelivered ones. */
const MAX_SENDS = 4

/** Options for {@link createDispatcher}. */
export interface DispatcherOptions {
  readonly load: FleetLoad
  readonly selector: TargetSelector
  readonly health: TargetHealth
  readonly stallDetector: StallDetector
  readonly client: TargetClient
  readonly limits: TargetLimits
  readonly admissions: ServiceAdmissions
  readonly reachability: Reachability
  readonly peerRelay: PeerRelay
  /** Returns the peers that reach targets and know this router's configuration. */
  readonly peersWithTargets: () => readonly Peer[]
  readonly protocol: TargetProtocol
  readonly streams: ResumableStreams
  readonly harmfulTraits: HarmfulTraits
  readonly targetList: TargetList
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
  const { selector, harmfulTraits, metrics, now } = options
  const retryCharger = createRetryCharger(options)
  const reportCrash = createCrashReporter({
    ...options,
    confirmCrash: createCrashConfirmation({ ...options, connects: connectsTo }),
  })
  const sendTo = createTargetSender({
    ...options,
    handleFailure: createFailureHandler({ ...options, reportCrash }),
    handleResponse: createResponseHandler({
      ...options,
      reportCrash,
      retryCharger,
    }),
  })
  const peerSender = createPeerSender(options)
  const explainNotRun = createNotRunExplainer(options)

  function failureOf(call: Call, progress: CallProgress): RequestFailure {
    const failure = resolveFailure(call, progress, now())
    const mayExplain =
      progress.verdict === Verdict.NotRun &&
      progress.peerFailure === undefined &&
      failure !== failures.deadlinePassed
    if (!mayExplain) return failure
    return explainNotRun(call, progress) ?? failure
  }

  /** Sends a call through a peer, or to a target; nothing follows if there is neither. */
  async function sendOnce(
    call: Call,
    progress: CallProgress,
  ): Promise<NextStep> {
    const peer = peerSender.findPeer(call, progress)
    if (peer) return peerSender.send(call, peer, progress)
    const placement = selector.select(call, progress)
    return placement ? sendTo(call, placement, progress) : NextStep.Done
  }

  function mayRetry(call: Call, progress: CallProgress): boolean {
    const { lastCause, possibleRuns, sends } = progress
    if (lastCause === TargetFailureCause.Withheld) {
      metrics.recordWithheld(call.service)
      return true
    }
    // No target has got the call, so its first send by a peer is no repetition.
    if (possibleRuns === 0 && peerSender.findPeer(call, progress)) return true
    return retryCharger.tryCharge(call, sends, lastCause ?? 'unknown')
  }

  /** Sends a call until a target has run it, or nothing may follow. */
  async function sendUntilDone(
    call: Call,
    progress: CallProgress,
  ): Promise<void> {
    while (progress.sends < MAX_SENDS && !call.signal.aborted) {
      if (call.deadlineAtMs - now() < MIN_REMAINING_MS) return
      progress.harmfulTrait = harmfulTraits.find(progress.traits)
      if (progress.harmfulTrait) return
      const next = await sendOnce(call, progress)
      if (next === NextStep.Done) return
      if (next === NextStep.Retry && !mayRetry(call, progress)) return
    }
  }

  async function dispatch(
    call: Call,
    res: ServerResponse,
  ): Promise<DispatchOutcome> {
    const relay = createResponseRelay(call, res, options.protocol)
    const progress = createCallProgress(relay, call)
    // The peer that relays a request has counted it.
    if (!call.relayed)
      options.retryBudgetFor(call.service).recordFirstAttempt(now())
    await waitForCacheLocation(call, {
      isLocated: (located) => selector.isLocated(located),
      recoveryMs: options.recoveryMs,
    })

    const admitted = await options.admissions.admit(call)
    if (admitted && 'code' in admitted) return { sends: 0, failure: admitted }

    try {
      await sendUntilDone(call, progress)
    } finally {
      const isWhole = progress.sends === 1 && progress.verdict === Verdict.Ran
      admitted?.end(isWhole)
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
