import type { HealthOptions } from './healthOptions.js'
import type { TargetState } from './targetState.js'

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)]
}

/**
 * Returns whether a target has too many consecutive failures, or a success rate
 * too far below the median of its peers.
 */
export function isOutlier(
  state: TargetState,
  peers: readonly TargetState[],
  options: HealthOptions,
): boolean {
  if (state.consecutiveFailures >= options.consecutiveFailures) return true
  if (state.outcomes < options.rateOutcomes) return false
  const rates: number[] = []
  for (const peer of peers)
    if (peer.outcomes >= options.rateOutcomes) rates.push(peer.successRate)
  const medianRate = median(rates)
  if (medianRate === undefined) return false
  return medianRate - state.successRate > options.maxRateGap
}
