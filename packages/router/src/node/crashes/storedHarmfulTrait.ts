/** A harmful trait as it outlives all routers. */
export interface StoredHarmfulTrait {
  /** Traits that a request must have to be refused. */
  readonly common: readonly string[]
  /** Time of day until which the trait is refused, in milliseconds since the epoch. */
  readonly untilMs: number
}
