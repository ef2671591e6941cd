/** Whether a request may be sent again after it may have run. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  NonIdempotent = 'non-idempotent',
  /** Responds with an event stream; runs at most once unless it is resumable. */
  Stream = 'stream',
}
