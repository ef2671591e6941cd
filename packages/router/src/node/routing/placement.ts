import type { Target } from '../targets/target.js'
import type { PlacementReason } from './placementReason.js'

/** The target of one send and what it is expected to prefill. */
export interface Placement {
  readonly target: Target
  readonly reason: PlacementReason
  /** Another target that the shared part of the prompt is fetched from. */
  readonly fetchFrom?: Target
  /** Prompt tokens that the target has neither cached nor can fetch. */
  readonly prefillTokens: number
}
