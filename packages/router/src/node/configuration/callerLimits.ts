/** Limits on requests and connections of callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Time that a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number
}
