import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { RequestKind } from '../configuration/requestKind.js'
import type { HarmfulTrait } from '../crashes/harmfulTrait.js'
import { requestTrait } from '../crashes/requestTrait.js'
import type { Placement } from '../routing/placement.js'
import { isResumable } from '../streams/isResumable.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { Call } from './call.js'
import type { ResponseRelay } from './createResponseRelay.js'
import { failures } from './failures.js'
import { requestFingerprint } from './requestFingerprint.js'
import { sharedPartIds } from './sharedPartIds.js'

/** Minimum time before the deadline for a send to be worthwhile, in milliseconds. */
export const MIN_REMAINING_MS = 5

/** State of one call across its sends to targets. */
export interface CallProgress {
  readonly relay: ResponseRelay
  /** What identifies the request in each of its attempts. */
  readonly fingerprint: string
  /** What the call has in common with others: its shared prompt parts and, the most specific, its fingerprint. */
  readonly traits: readonly string[]
  /** Ids of the targets that the call was sent to. */
  readonly tried: Set<string>
  /** Routers that the call was relayed to. */
  readonly triedPeers: Set<string>
  /** Failure that a peer reported. */
  peerFailure?: RequestFailure
  /** Software version that began the stream, once one has. */
  readonly softwareVersion: string | undefined
  /** Sends that a target ran or may have run. */
  possibleRuns: number
  sends: number
  /** Time of the last send on the monotonic clock, in milliseconds. */
  sentAtMs: number
  verdict: Verdict
  lastCause?: TargetFailureCause
  /** Placement of the last send. */
  placement?: Placement
  /** Trait for which the call is not sent to a target, or not to a further one. */
  harmfulTrait?: HarmfulTrait | undefined
}

/** Creates the progress of a call that has not been sent yet. */
export function createCallProgress(
  relay: ResponseRelay,
  call: Call,
): CallProgress {
  const fingerprint = requestFingerprint(call)
  return {
    relay,
    fingerprint,
    traits: [
      ...sharedPartIds(call.request.promptParts),
      requestTrait(fingerprint),
    ],
    get softwareVersion() {
      return relay.softwareVersion
    },
    tried: new Set(),
    triedPeers: new Set(),
    possibleRuns: call.relayed?.possibleRuns ?? 0,
    sends: 0,
    sentAtMs: -Infinity,
    verdict: Verdict.NotRun,
  }
}

function isRetryable({ route }: Call): boolean {
  return route.kind === RequestKind.Idempotent || isResumable(route)
}

/** Returns whether the call may be sent again although a target may have run it. */
export function canRetry(
  call: Call,
  { relay, possibleRuns }: CallProgress,
): boolean {
  if (!relay.canReplace) return false
  return isRetryable(call) && possibleRuns < call.route.maxAttempts
}

/** Returns whether the call may be sent again if the next target does not respond in time. */
export function canRetryAfterTimeout(
  call: Call,
  { possibleRuns }: CallProgress,
): boolean {
  return isRetryable(call) && possibleRuns + 1 < call.route.maxAttempts
}

/** Returns the failure to report for a call that got no complete response. */
export function resolveFailure(
  call: Call,
  progress: CallProgress,
  nowMs: number,
): RequestFailure {
  const { peerFailure } = progress
  if (peerFailure?.verdict === progress.verdict) return peerFailure
  if (progress.verdict === Verdict.NotRun) {
    if (call.deadlineAtMs - nowMs < MIN_REMAINING_MS)
      return failures.deadlinePassed
    return progress.sends === 0 ? failures.noTarget : failures.targetsRefused
  }
  const timedOut =
    call.signal.aborted || progress.lastCause === TargetFailureCause.TimedOut
  return timedOut ? failures.targetTimeout : failures.targetFailed
}
