/** What follows a send of a call. */
export enum NextStep {
  Done = 'done',
  Retry = 'other-target',
  /** A retry that was already charged to the retry budget. */
  RetryCharged = 'other-target-paid',
}
