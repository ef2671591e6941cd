/** A prompt part under which one target after the other crashed. */
export interface HarmfulPart {
  readonly part: string
  /** Parts that all requests under which they crashed had, `part` among them. */
  readonly common: readonly string[]
  /** Time of the last crash on the monotonic clock, in milliseconds. */
  readonly lastCrashAtMs: number
}
