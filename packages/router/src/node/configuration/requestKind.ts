/** What may be repeated of a request. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  NonIdempotent = 'non-idempotent',
  /** Answers with events; runs at most once unless it can be resumed. */
  Stream = 'stream',
}
