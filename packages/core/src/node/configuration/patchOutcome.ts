/** What the log order made of a patch. */
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
  /** The version in force after the patch. */
  readonly version: number
  readonly reason?: string
}
