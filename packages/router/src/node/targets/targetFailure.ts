import type { Verdict } from '@auburnbay/core/verdict/verdict'

/** Why a target gave no answer that may be passed on. */
export enum TargetFailureCause {
  /** No connection could be opened. */
  Unreachable = 'unreachable',
  /** The connection broke or carried no valid HTTP. */
  Broken = 'broken',
  /** No answer came in time. */
  Silent = 'silent',
  /** The caller went away or the answer was overdue. */
  Aborted = 'aborted',
  /** The target refused before running. */
  Refused = 'refused',
  /** Another target has the address now. */
  WrongTarget = 'wrong-target',
  /** The answer belongs to another request. */
  ForeignAnswer = 'foreign-answer',
  /** The target does not vouch for the answer. */
  Unsigned = 'unsigned',
}

/** A send that brought no answer. */
export interface TargetFailure {
  readonly verdict: Verdict
  readonly cause: TargetFailureCause
  readonly message: string
}
