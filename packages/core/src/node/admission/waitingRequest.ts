/** Properties of a request that decide its position in a queue. */
export interface WaitingRequest {
  readonly id: string
  /** 0 is the most urgent. */
  readonly rank: number
  readonly customer: string
  /** Share of the customer relative to other customers. */
  readonly weight: number
  /** Milliseconds of the monotonic clock. */
  readonly enqueuedAtMs: number
  /** Deadline in milliseconds of the monotonic clock. */
  readonly deadlineAtMs: number
}
