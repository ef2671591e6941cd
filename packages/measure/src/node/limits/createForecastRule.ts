import type { CapacityRule } from './queuePolicy.js'

/** Options for {@link createForecastRule}. */
export interface ForecastRuleOptions {
  /** Longest queue, in requests. */
  readonly maxWaiting: number
  /** Time to exhaustion in milliseconds below which the queue may not grow. */
  readonly horizonMs: number
  /** Time constant of the moving averages, in milliseconds. */
  readonly windowMs: number
  /** Milliseconds over which one burn rate is sampled. */
  readonly sampleMs: number
}

/** Standard deviations from the mean to the 90th percentile of a normal distribution. */
const P90_DEVIATIONS = 1.2816

/**
 * Creates the forecast rule of ratelord's PREDICTION.md. The free space of the
 * queue is the pool, its growth is the burn rate, kept as a moving average with
 * variance. The variance grows with the time since the last sample. Shedding
 * starts when the P90 time to exhaustion falls below the horizon.
 */
export function createForecastRule(options: ForecastRuleOptions): CapacityRule {
  const { maxWaiting, horizonMs, windowMs, sampleMs } = options
  let size = 0
  let sampledSize = 0
  let sampledAtMs = 0
  let meanBurn = 0
  let variance = 0
  let sinceSampleMs = 0

  function timeToExhaustionMs(): number {
    const staleness = 1 + sinceSampleMs / windowMs
    const p90Burn = meanBurn + P90_DEVIATIONS * Math.sqrt(variance * staleness)
    if (p90Burn <= 0) return Infinity
    return (maxWaiting - size) / p90Burn
  }

  return {
    capacity: () =>
      timeToExhaustionMs() < horizonMs ? Math.max(1, size - 1) : maxWaiting,
    recordSize(nowMs, nextSize) {
      size = nextSize
      sinceSampleMs = nowMs - sampledAtMs
      if (sinceSampleMs < sampleMs) return
      const elapsedMs = sinceSampleMs
      const rate = (size - sampledSize) / elapsedMs
      const weight = 1 - Math.exp(-elapsedMs / windowMs)
      const difference = rate - meanBurn
      meanBurn += weight * difference
      variance = (1 - weight) * (variance + weight * difference * difference)
      sampledSize = size
      sampledAtMs = nowMs
    },
    recordRunTime: () => undefined,
  }
}
