/** Outcome of a request to a target, as evidence of its health. */
export enum TargetOutcome {
  Success = 'success',
  Failure = 'failure',
  /** The target refused the request before running it: it is full or draining. */
  Refused = 'refused',
  /** No evidence: the caller disconnected or a keep-alive connection failed. */
  Unknown = 'unknown',
}
