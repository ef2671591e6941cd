import type { RequestFailure } from '@auburnbay/core'

/** A failed attempt on one target. */
export interface TargetFailure extends RequestFailure {
  /**
   * Whether the request was sent on a connection reused from an earlier
   * request.
   */
  readonly reusedConnection: boolean
}
