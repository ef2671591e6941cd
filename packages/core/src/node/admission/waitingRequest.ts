/** What the order of a queue looks at. */
export interface WaitingRequest {
  readonly id: string
  /** 0 is the most urgent. */
  readonly rank: number
  readonly customer: string
  /** Share of the customer relative to the others. */
  readonly weight: number
  /** Milliseconds of the monotonic clock. */
  readonly enqueuedAtMs: number
  /** Milliseconds of the monotonic clock until the request is of use. */
  readonly deadlineAtMs: number
}
