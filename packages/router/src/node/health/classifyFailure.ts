import { TargetFailureCause } from '../targets/targetFailure.js'

/** What a failed send says of its target. */
export interface FailureHandling {
  /** Whether the failure counts against the target's health. */
  readonly countsAgainstHealth: boolean
  /** Milliseconds for which the target gets no work; 0 for none. */
  readonly avoidMs: number
  /** Whether kept connections to the target are given up. */
  readonly discardsConnections: boolean
}

/** Milliseconds for which a target that cannot be reached gets no work. */
const UNREACHABLE_AVOIDED_MS = 1_000
/** Milliseconds for which a target that refused gets no work. */
const REFUSED_AVOIDED_MS = 150

/** Judges a target by why a send to it failed; being full is no fault. */
export function classifyFailure(cause: TargetFailureCause): FailureHandling {
  switch (cause) {
    case TargetFailureCause.Aborted:
      return {
        countsAgainstHealth: false,
        avoidMs: 0,
        discardsConnections: false,
      }
    case TargetFailureCause.Refused:
      return {
        countsAgainstHealth: false,
        avoidMs: REFUSED_AVOIDED_MS,
        discardsConnections: false,
      }
    case TargetFailureCause.Unreachable:
    case TargetFailureCause.WrongTarget:
      return {
        countsAgainstHealth: false,
        avoidMs: UNREACHABLE_AVOIDED_MS,
        discardsConnections: true,
      }
    case TargetFailureCause.Broken:
    case TargetFailureCause.Silent:
    case TargetFailureCause.ForeignAnswer:
    case TargetFailureCause.Unsigned:
      return {
        countsAgainstHealth: true,
        avoidMs: 0,
        discardsConnections: false,
      }
  }
}
