/** Why a connection is closed. */
export enum CloseReason {
  /** There are as many connections as the process has descriptors for. */
  Connections = 'connections',
  /** Requests and responses use too much memory; this connection uses most of it, and no target works for it. */
  Memory = 'memory',
  /** Heads that have not ended use too much memory; that of this connection uses most of it. */
  Heads = 'heads',
  /** It has sent too many requests ahead; those that are at targets are answered before. */
  RequestsAhead = 'requests-ahead',
  /** Its client does not read the response. */
  Unread = 'unread',
}
