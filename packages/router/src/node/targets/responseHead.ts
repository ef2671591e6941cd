import type { TargetStatement } from './targetStatement.js'

/** Head of a target's response. */
export interface ResponseHead {
  readonly status: number
  /** Whether it belongs to the request that was sent on its connection. */
  readonly isForRequest: boolean
  /** Whether the target states that it did not run the request. */
  readonly notRun: boolean
  /** Whether another target has the address now. */
  readonly wrongTarget: boolean
  /** Whether the response carries the target's signature. */
  readonly signed: boolean
  /** What the target says of itself; absent if another one responded. */
  readonly statement?: TargetStatement
}
