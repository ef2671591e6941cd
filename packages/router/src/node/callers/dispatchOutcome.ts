import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'

/** Result of dispatching a call. */
export interface DispatchOutcome {
  /** Failure to report; absent if the caller got a complete response. */
  readonly failure?: RequestFailure
  readonly sends: number
  /** Id of the last target that the call was sent to. */
  readonly target?: string
}
