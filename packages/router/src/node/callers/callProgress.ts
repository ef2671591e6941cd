import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { RequestKind } from '../configuration/requestKind.js'
import { TargetFailureCause } from '../targets/targetFailure.js'
import type { Call } from './call.js'
import type { AnswerRelay } from './createAnswerRelay.js'
import { failures } from './failures.js'

/** Least time that is worth a send, in milliseconds. */
export const MIN_REMAINING_MS = 5

/** What the sends of one call have come to. */
export interface CallProgress {
  readonly relay: AnswerRelay
  readonly tried: Set<string>
  /** Sends that may have run. */
  runs: number
  sends: number
  verdict: Verdict
  lastCause?: TargetFailureCause
}

/** Returns the progress of a call that was not sent yet. */
export function createCallProgress(relay: AnswerRelay): CallProgress {
  return {
    relay,
    tried: new Set(),
    runs: 0,
    sends: 0,
    verdict: Verdict.NotRun,
  }
}

function isRepeatable({ route }: Call): boolean {
  return (
    route.kind === RequestKind.Idempotent ||
    (route.kind === RequestKind.Stream && route.resumable)
  )
}

/** Returns whether another target may run the call, though one may have. */
export function mayRunAgain(
  call: Call,
  { relay, runs }: CallProgress,
): boolean {
  if (!relay.replaceable) return false
  return isRepeatable(call) && runs < call.route.maxAttempts
}

/** Returns whether the call may be given to another target if the next one is silent. */
export function maySendElsewhere(call: Call, { runs }: CallProgress): boolean {
  return isRepeatable(call) && runs + 1 < call.route.maxAttempts
}

/** Returns what to tell the caller of a call that brought no answer. */
export function failureOf(
  call: Call,
  progress: CallProgress,
  nowMs: number,
): RequestFailure {
  if (progress.verdict === Verdict.NotRun) {
    if (call.dueAtMs - nowMs < MIN_REMAINING_MS) return failures.expiredUnsent
    return progress.sends === 0 ? failures.noTarget : failures.targetsRefused
  }
  const isLate =
    call.signal.aborted || progress.lastCause === TargetFailureCause.Silent
  return isLate ? failures.overdue : failures.targetFailed
}
