import type { CapacityRule } from './queuePolicy.js'

/** How the forecast is tuned. */
export interface ForecastOptions {
  /** Requests that wait at most. */
  readonly maxWaiting: number
  /** Time to exhaustion below which the queue may not grow, in ms. */
  readonly horizonMs: number
  /** Time constant of the moving averages, in milliseconds. */
  readonly windowMs: number
  /** Milliseconds over which one burn rate is taken. */
  readonly sampleMs: number
}

/** Standard deviations of the 90th percentile of a normal distribution. */
const P90_DEVIATIONS = 1.2816

/**
 * The forecast of ratelord's PREDICTION.md: the free places of the queue are
 * the pool, its growth is the burn rate, as moving average with variance;
 * silence inflates the variance; shedding starts when the time to exhaustion
 * at P90 falls below the horizon.
 */
export function forecastRule(options: ForecastOptions): CapacityRule {
  const { maxWaiting, horizonMs, windowMs, sampleMs } = options
  let size = 0
  let sampledSize = 0
  let lastMs = 0
  let burn = 0
  let variance = 0
  let silentMs = 0

  function timeToExhaustionMs(): number {
    const staleness = 1 + silentMs / windowMs
    const worst = burn + P90_DEVIATIONS * Math.sqrt(variance * staleness)
    if (worst <= 0) return Infinity
    return (maxWaiting - size) / worst
  }

  return {
    capacity: () =>
      timeToExhaustionMs() < horizonMs ? Math.max(1, size - 1) : maxWaiting,
    changed(nowMs, nextSize) {
      size = nextSize
      silentMs = nowMs - lastMs
      if (silentMs < sampleMs) return
      const elapsedMs = silentMs
      const rate = (size - sampledSize) / elapsedMs
      const weight = 1 - Math.exp(-elapsedMs / windowMs)
      const difference = rate - burn
      burn += weight * difference
      variance = (1 - weight) * (variance + weight * difference * difference)
      sampledSize = size
      lastMs = nowMs
    },
    ran: () => undefined,
  }
}
