/** Why a router keeps its version though the log or a peer shows another one. */
export enum ConfigurationProblemKind {
  /** The log has another identity than the one this router has followed. */
  LogReplaced = 'log-replaced',
  /** The log ends before records that this router has read. */
  LogShortened = 'log-shortened',
  /** The log shows another record at an offset that this router has read. */
  LogRewritten = 'log-rewritten',
  /** Retention removed records that this router has not read. */
  RecordsMissing = 'records-missing',
  /** A record needs a newer release of the daemon. */
  NewerSchema = 'newer-schema',
  /** A snapshot or a peer has the same version with other contents. */
  DigestDiffers = 'digest-differs',
  /** A snapshot would lead back. */
  SnapshotOlder = 'snapshot-older',
  /** A snapshot is damaged. */
  SnapshotBroken = 'snapshot-broken',
}

/** What keeps a router from following the log, for operators. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind
  readonly message: string
}
