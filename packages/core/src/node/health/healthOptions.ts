/** Options for createServiceHealth. */
export interface HealthOptions {
  /** Consecutive failures that eject a target. */
  readonly consecutiveFailures: number
  /** Outcomes covered by the moving average of the success rate. */
  readonly rateOutcomes: number
  /** Largest gap between a success rate and the median of its peers. */
  readonly maxRateGap: number
  /** Hold-down of the first ejection in milliseconds; doubles with each one. */
  readonly baseHoldMs: number
  /** Longest hold-down in milliseconds. */
  readonly maxHoldMs: number
  /** Share of a service's targets that may be ejected at once. */
  readonly maxEjectedShare: number
}
