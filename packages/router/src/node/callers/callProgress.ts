import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { RequestKind } from '../configuration/requestKind.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { Call } from './call.js'
import type { ResponseRelay } from './createResponseRelay.js'
import { failures } from './failures.js'

/** Least time that is worth a send, in milliseconds. */
export const MIN_REMAINING_MS = 5

/** What the sends of one call have come to. */
export interface CallProgress {
  readonly relay: ResponseRelay
  readonly triedTargets: Set<string>
  /** Sends that may have run. */
  possibleRuns: number
  sends: number
  verdict: Verdict
  lastCause?: TargetFailureCause
}

/** Returns the progress of a call that was not sent yet. */
export function createCallProgress(relay: ResponseRelay): CallProgress {
  return {
    relay,
    triedTargets: new Set(),
    possibleRuns: 0,
    sends: 0,
    verdict: Verdict.NotRun,
  }
}

function isRetryable({ route }: Call): boolean {
  return (
    route.kind === RequestKind.Idempotent ||
    (route.kind === RequestKind.Stream && route.resumable)
  )
}

/** Returns whether another target may run the call, though one may have. */
export function canRetry(
  call: Call,
  { relay, possibleRuns: runs }: CallProgress,
): boolean {
  if (!relay.canReplace) return false
  return isRetryable(call) && runs < call.route.maxAttempts
}

/** Returns whether the call may be given to another target if the next one is silent. */
export function canRetryAfterTimeout(
  call: Call,
  { possibleRuns: runs }: CallProgress,
): boolean {
  return isRetryable(call) && runs + 1 < call.route.maxAttempts
}

/** Returns what to tell the caller of a call that brought no answer. */
export function resolveFailure(
  call: Call,
  progress: CallProgress,
  nowMs: number,
): RequestFailure {
  if (progress.verdict === Verdict.NotRun) {
    if (call.dueAtMs - nowMs < MIN_REMAINING_MS) return failures.deadlinePassed
    return progress.sends === 0 ? failures.noTarget : failures.targetsRefused
  }
  const isLate =
    call.signal.aborted || progress.lastCause === TargetFailureCause.Silent
  return isLate ? failures.targetTimeout : failures.targetFailed
}
