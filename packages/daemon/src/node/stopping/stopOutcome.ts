/** How a router's stop ended. */
export enum StopOutcome {
  /** Every request was answered in full. */
  Drained = 'drained',
  /** Requests that outlasted the limit were broken off. */
  Aborted = 'cut-off',
}
