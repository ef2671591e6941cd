/** Result of a patch, which the order of the log determines. */
export enum PatchOutcomeKind {
  Applied = 'applied',
  Conflict = 'conflict',
  Duplicate = 'duplicate',
  Invalid = 'invalid',
}

/** The outcome of one patch, the same on every router. */
export interface PatchOutcome {
  readonly kind: PatchOutcomeKind
  readonly patchId: string
  readonly offset: number
  /** Configuration version after the patch. */
  readonly version: number
  readonly reason?: string
}
