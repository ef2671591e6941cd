/** A harmful part as it outlives all routers. */
export interface StoredHarmfulPart {
  /** Parts that all requests under which targets crashed had. */
  readonly common: readonly string[]
  /** Time of day until which the part is refused, in milliseconds since the epoch. */
  readonly untilMs: number
}
