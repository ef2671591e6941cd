/** What a ledger must know at each decision. */
export interface LedgerContext {
  /** Milliseconds of the monotonic clock. */
  readonly nowMs: number
  readonly maxLoadFactor: number
  /** Mean load for each unit of weight over all groups of the service. */
  readonly serviceMean?: number
  /** Whether the target at an index may take new work. */
  eligible(index: number): boolean
  /** Late report of the target at an index. */
  reported(index: number): number | undefined
}
