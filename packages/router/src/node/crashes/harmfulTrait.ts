/** A trait of requests, such as a prompt part, under which one target after the other crashed. */
export interface HarmfulTrait {
  readonly trait: string
  /** Traits that all requests under which they crashed had, `trait` among them. */
  readonly common: readonly string[]
  /** Time of the last crash on the monotonic clock, in milliseconds. */
  readonly lastCrashAtMs: number
}
