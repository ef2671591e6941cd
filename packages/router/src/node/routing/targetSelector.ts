import type { Call } from '../callers/call.js'
import type { Target } from '../targets/target.js'
import type { TargetExclusion } from '../targets/targetExclusion.js'
import type { TargetFailureCause } from '../targets/targetFailure.js'
import type { Placement } from './placement.js'
import type { TargetLoad } from './targetLoad.js'

/** Targets that a call may be sent to. */
export interface TargetConstraints {
  /** Ids of the targets that the call was sent to before. */
  readonly tried: ReadonlySet<string>
  /** The only software version that may go on with the stream of the call. */
  readonly softwareVersion?: string | undefined
}

/** A target of a call's service, and why it may get the call or not. */
export interface Candidate {
  readonly target: Target
  readonly load: TargetLoad
  /** Whether it caches the prompt. */
  readonly isCached: boolean
  /** Undefined if it may get the call. */
  readonly exclusion: TargetExclusion | undefined
}

/** Where a call would be sent, and why. */
export interface SelectionExplanation {
  readonly candidates: readonly Candidate[]
  readonly placement: Placement | undefined
}

/** Selects the targets of calls. */
export interface TargetSelector {
  /** Returns the placement of a call's next send; undefined if there is no target. */
  select(call: Call, constraints: TargetConstraints): Placement | undefined
  /** Returns what {@link TargetSelector.select} would decide now; nothing is remembered by asking. */
  explain(call: Call, constraints: TargetConstraints): SelectionExplanation
  /** Whether the prompt of a call needs no cache location or has a known one. */
  isLocated(call: Call): boolean
  /** Returns the milliseconds until a target takes a call within its limit; 0 if one does or there is none. */
  waitMs(call: Call): number
  /** Records that a call is sent to a target. */
  recordSent(call: Call, target: Target): void
  /** Records that the target of a placement did not run the call. */
  recordNotRun(
    call: Call,
    placement: Placement,
    cause: TargetFailureCause,
  ): void
}
