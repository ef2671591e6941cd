import type { RequestFailure } from '@auburnbay/core'

/** A failed attempt on one target. */
export interface TargetFailure extends RequestFailure {
  /** Whether a connection kept from earlier requests was to blame. */
  readonly reusedConnection: boolean
}
