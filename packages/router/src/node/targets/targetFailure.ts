import type { Verdict } from '@auburnbay/core/verdict/verdict'

/** Why a target gave no response that may be forwarded. */
export enum TargetFailureCause {
  /** No connection could be opened. */
  Unreachable = 'unreachable',
  /** The connection broke or carried no valid HTTP. */
  Broken = 'broken',
  /** No response came in time. */
  TimedOut = 'silent',
  /** The caller disconnected or the deadline passed. */
  Aborted = 'aborted',
  /** The target refused the request without running it. */
  Refused = 'refused',
  /** Another target has the address now. */
  WrongTarget = 'wrong-target',
  /** The response belongs to another request. */
  ForeignResponse = 'foreign-answer',
  /** Status of a refusal, without the statement that the request did not run. */
  Unstated = 'unstated',
  /** The same from a target that wants no requests for a time. */
  TurnedAway = 'turned-away',
  /** Not written, as the target had said meanwhile that it takes no requests. */
  Withheld = 'withheld',
  /** The response lacks the target's signature. */
  Unsigned = 'unsigned',
}

/** A send without a response that may be forwarded. */
export interface TargetFailure {
  readonly verdict: Verdict
  readonly cause: TargetFailureCause
  readonly message: string
}
