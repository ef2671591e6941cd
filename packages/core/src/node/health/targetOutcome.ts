/** How a request to a target ended, as far as the target is to blame. */
export enum TargetOutcome {
  Success = 'success',
  Failure = 'failure',
  /** The caller went away or the target refused for load: no evidence. */
  Unknown = 'unknown',
}
