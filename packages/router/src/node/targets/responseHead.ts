/** What the head of a target's answer says. */
export interface ResponseHead {
  readonly status: number
  /** Whether it answers the request that was sent on its connection. */
  readonly isForRequest: boolean
  /** Whether the target states that it did not run the request. */
  readonly notRun: boolean
  /** Whether another target has the address now. */
  readonly wrongTarget: boolean
  /** Whether the target vouches that the answer is its own. */
  readonly signed: boolean
}
