/** How forwarding a response body ended. */
export enum RelayOutcome {
  /** The complete body was forwarded. */
  Complete = 'complete',
  /** The response of the target was truncated. */
  Broken = 'broken',
  /** The caller disconnected or the deadline passed. */
  Aborted = 'aborted',
}
