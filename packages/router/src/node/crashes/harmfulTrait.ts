/** What requests have in common under which one target after the other crashed: a prompt part, or the request itself. */
export interface HarmfulTrait {
  readonly trait: string
  /** Traits that a request must have to be refused, `trait` among them. */
  readonly common: readonly string[]
  /** Time of the last crash on the monotonic clock, in milliseconds. */
  readonly lastCrashAtMs: number
}
