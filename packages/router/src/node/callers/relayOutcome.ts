/** How the passing on of an answer's body ended. */
export enum RelayOutcome {
  /** The caller has the whole body. */
  Complete = 'complete',
  /** The target's answer broke off. */
  Broken = 'broken',
  /** The caller went away or the answer was overdue. */
  Aborted = 'aborted',
}
