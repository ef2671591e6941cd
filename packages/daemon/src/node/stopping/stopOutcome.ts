/** Result of stopping a router. */
export enum StopOutcome {
  /** Every request was completed. */
  Drained = 'drained',
  /** Requests that exceeded the drain timeout were aborted. */
  Aborted = 'cut-off',
}
