/** Reasons why a router does not apply what the log, a snapshot or a peer offers. */
export enum ConfigurationProblemKind {
  /** The log id differs from the one that this router has followed. */
  LogReplaced = 'log-replaced',
  /** The log ends before a record that this router has already read. */
  LogShortened = 'log-shortened',
  /** A record that this router has already read has changed. */
  LogRewritten = 'log-rewritten',
  /** Retention removed records that this router has not read yet. */
  RecordsMissing = 'records-missing',
  /** A record or snapshot needs a newer release of the daemon. */
  NewerSchema = 'newer-schema',
  /** A snapshot or a peer has the same version but a different digest. */
  DigestDiffers = 'digest-differs',
  /** A snapshot is older than the current state. */
  SnapshotOlder = 'snapshot-older',
  /** A snapshot has a wrong checksum or breaks the schema. */
  SnapshotBroken = 'snapshot-broken',
}

/** Problem that keeps a router from following the log, reported to operators. */
export interface ConfigurationProblem {
  readonly kind: ConfigurationProblemKind
  readonly message: string
}
