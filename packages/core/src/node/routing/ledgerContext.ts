/** Inputs of a grant ledger at the time of a decision. */
export interface LedgerContext {
  /** Milliseconds of the monotonic clock. */
  readonly nowMs: number
  readonly maxLoadFactor: number
  /** Mean load per unit of weight over all groups of the service. */
  readonly serviceMean?: number
  /** Whether the target at an index accepts new requests. */
  eligible(index: number): boolean
  /** Load in the last, delayed report of the target at an index. */
  reported(index: number): number | undefined
}
