import { combineVerdicts } from '@auburnbay/core/verdict/attemptProgress'
import { FailureCode } from '@auburnbay/core/verdict/failureCode'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { IncomingMessage } from 'node:http'
import type { Reachability } from '../health/createReachability.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { PeerRelay } from '../peers/createPeerRelay.js'
import type { Peer } from '../peers/createPeerTable.js'
import {
  decodeSoftwareVersion,
  RELAY_VERSION_HEADER,
} from '../peers/relayedRequest.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { TargetProtocol } from '../targets/targetProtocol.js'
import type { Call } from './call.js'
import { type CallProgress, canRetry } from './callProgress.js'
import { NextStep } from './nextStep.js'
import { RelayOutcome } from './relayOutcome.js'

/** Options for {@link createPeerSender}. */
export interface PeerSenderOptions {
  readonly reachability: Reachability
  readonly peerRelay: PeerRelay
  /** Returns the peers that reach targets and know this router's configuration. */
  readonly peersWithTargets: () => readonly Peer[]
  readonly protocol: TargetProtocol
  readonly streams: ResumableStreams
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Sends calls through a peer while this router reaches no target. */
export interface PeerSender {
  /** Returns the peer through which a call is sent next; undefined if it goes to a target. */
  findPeer(call: Call, progress: CallProgress): Peer | undefined
  send(call: Call, peer: Peer, progress: CallProgress): Promise<NextStep>
}

/** Failures of a peer after which another one may serve the call. */
const OTHER_PEER_CODES = new Set([
  FailureCode.RouterBusy,
  FailureCode.Starting,
  FailureCode.Stopping,
])

/** Creates a sender. */
export function createPeerSender(options: PeerSenderOptions): PeerSender {
  const { reachability, peerRelay, protocol, streams, log, now } = options

  function logRelayed(
    { request }: Call,
    { router }: Peer,
    verdict: Verdict,
    reason: string | undefined,
  ): void {
    log.write(LogEvent.RequestRelayed, {
      request: request.attemptId,
      peer: router,
      verdict,
      reason,
    })
  }

  async function forward(
    call: Call,
    peer: Peer,
    progress: CallProgress,
    res: IncomingMessage,
  ): Promise<NextStep> {
    const head = protocol.decodeHead(res, call.request.attemptId, false)
    progress.possibleRuns += 1
    progress.verdict = Verdict.Ran
    const softwareVersion = decodeSoftwareVersion(
      res.headers[RELAY_VERSION_HEADER],
    )
    const response = {
      head,
      res,
      ...(softwareVersion !== undefined && { softwareVersion }),
    }
    const isAccepted = head.isForRequest && progress.relay.accepts(response)
    if (isAccepted && softwareVersion !== undefined)
      streams.recordSent(call, softwareVersion)
    const outcome = isAccepted
      ? await progress.relay.forward(response, () => undefined)
      : RelayOutcome.Broken
    logRelayed(call, peer, Verdict.Ran, outcome)
    if (outcome !== RelayOutcome.Broken) return NextStep.Done
    res.destroy()
    progress.lastCause = TargetFailureCause.Broken
    return canRetry(call, progress) ? NextStep.Retry : NextStep.Done
  }

  return {
    findPeer({ request, relayed }, { relay, triedPeers }) {
      if (!reachability.isCutOff || relayed || relay.headersSent)
        return undefined
      const candidates = options
        .peersWithTargets()
        .filter(({ router }) => !triedPeers.has(router))
        .map((peer) => ({ id: peer.router, weight: 1, peer }))
      return rendezvousOrder(request.attemptId, candidates)[0]?.peer
    },
    async send(call, peer, progress) {
      progress.sends += 1
      progress.triedPeers.add(peer.router)
      const { softwareVersion } = call
      const result = await peerRelay.send(call, peer, {
        remainingMs: call.deadlineAtMs - now(),
        possibleRuns: progress.possibleRuns,
        ...(softwareVersion !== undefined && { softwareVersion }),
      })
      if (result.isErr()) {
        const { verdict, message } = result.error
        logRelayed(call, peer, verdict, message)
        progress.verdict = combineVerdicts(progress.verdict, verdict)
        progress.lastCause = call.signal.aborted
          ? TargetFailureCause.Aborted
          : TargetFailureCause.Broken
        if (verdict === Verdict.NotRun) return NextStep.Retry
        progress.possibleRuns += 1
        return canRetry(call, progress) ? NextStep.Retry : NextStep.Done
      }
      if ('response' in result.value)
        return forward(call, peer, progress, result.value.response)
      const { failure } = result.value
      logRelayed(call, peer, failure.verdict, failure.code)
      progress.verdict = combineVerdicts(progress.verdict, failure.verdict)
      if (OTHER_PEER_CODES.has(failure.code)) return NextStep.Retry
      progress.peerFailure = failure
      return NextStep.Done
    },
  }
}
