import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'

/** How a call ended. */
export interface DispatchOutcome {
  /** What to tell the caller; absent once it has an answer. */
  readonly failure?: RequestFailure
  readonly sends: number
  /** The target of the last send. */
  readonly target?: string
}
