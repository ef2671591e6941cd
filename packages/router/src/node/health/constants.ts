import type { HealthOptions } from '@auburnbay/core/health/healthOptions'

/** Thresholds of outlier ejection; at least half of a service's targets stay eligible. */
export const HEALTH_OPTIONS: HealthOptions = {
  consecutiveFailures: 3,
  rateOutcomes: 12,
  maxRateGap: 0.25,
  baseHoldMs: 1_500,
  maxHoldMs: 6_000,
  maxEjectedShare: 0.5,
}
