/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Milliseconds that a connection may stay without a request. */
  readonly idleTimeoutMs: number
}
