/** Cause of an error response of the administration API, sent as `error.code`. */
export enum AdminErrorCode {
  BadRequest = 'bad-request',
  MissingToken = 'missing-token',
  WrongToken = 'wrong-token',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  MethodNotAllowed = 'method-not-allowed',
  Conflict = 'conflict',
  Invalid = 'invalid',
  TooLarge = 'too-large',
  /** The log did not confirm the change, which may still be applied. */
  Unknown = 'unknown',
  LogUnavailable = 'log-unavailable',
  Unsupported = 'unsupported',
  Internal = 'internal',
}
