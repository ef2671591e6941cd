/** Names the cause of a refused administration call; sent as `error.code`. */
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
  /** The log did not confirm the change; it may come into force. */
  Unknown = 'unknown',
  LogUnavailable = 'log-unavailable',
  Unsupported = 'unsupported',
  Internal = 'internal',
}
