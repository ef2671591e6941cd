import { TargetFailureCause } from '../targets/targetFailure.js'

/** How the router reacts to a failed send. */
export interface FailureHandling {
  /** Whether the failure counts against the target's health. */
  readonly countsAgainstHealth: boolean
  /** Milliseconds for which the target gets no requests; 0 for none. */
  readonly avoidMs: number
  /** Whether the connections to the target are retired. */
  readonly retiresConnections: boolean
}

/** Milliseconds for which an unreachable target gets no requests. */
const UNREACHABLE_AVOID_MS = 1_000
/** Milliseconds for which a target that refused a request gets no others. */
const REFUSED_AVOID_MS = 150

/** Classifies a failed send by its cause; a refusal of a full target is not a fault. */
export function classifyFailure(cause: TargetFailureCause): FailureHandling {
  switch (cause) {
    case TargetFailureCause.Aborted:
    case TargetFailureCause.Withheld:
    case TargetFailureCause.TurnedAway:
      return {
        countsAgainstHealth: false,
        avoidMs: 0,
        retiresConnections: false,
      }
    case TargetFailureCause.Refused:
      return {
        countsAgainstHealth: false,
        avoidMs: REFUSED_AVOID_MS,
        retiresConnections: false,
      }
    case TargetFailureCause.Unreachable:
    case TargetFailureCause.WrongTarget:
      return {
        countsAgainstHealth: false,
        avoidMs: UNREACHABLE_AVOID_MS,
        retiresConnections: true,
      }
    case TargetFailureCause.Broken:
    case TargetFailureCause.TimedOut:
    case TargetFailureCause.ForeignResponse:
    case TargetFailureCause.Unsigned:
    case TargetFailureCause.Unstated:
      return {
        countsAgainstHealth: true,
        avoidMs: 0,
        retiresConnections: false,
      }
  }
}
