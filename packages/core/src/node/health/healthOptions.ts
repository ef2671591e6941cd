/** When targets are ejected and for how long. */
export interface HealthOptions {
  /** Failures in a row that eject a target. */
  readonly consecutiveFailures: number
  /** Outcomes that a success rate is taken over, as a moving average. */
  readonly rateOutcomes: number
  /** How far below the median of its service a success rate may fall. */
  readonly maxRateGap: number
  /** Milliseconds of the first ejection; each further one is twice as long. */
  readonly baseHoldMs: number
  readonly maxHoldMs: number
  /** Share of a service's targets that may be ejected at once. */
  readonly maxEjectedShare: number
}
