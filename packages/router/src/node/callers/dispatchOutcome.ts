import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import type { Placement } from '../routing/placement.js'

/** Result of dispatching a call. */
export interface DispatchOutcome {
  /** Failure to report; absent if the caller got a complete response. */
  readonly failure?: RequestFailure
  readonly sends: number
  /** Placement of the last send. */
  readonly placement?: Placement
}
