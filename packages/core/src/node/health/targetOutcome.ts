/** How a request to a target ended, as far as the target is to blame. */
export enum TargetOutcome {
  Success = 'success',
  Failure = 'failure',
  /** The target refused before running, as one that is full or leaving. */
  Refused = 'refused',
  /** The caller went away or a kept connection was to blame: no evidence. */
  Unknown = 'unknown',
}
