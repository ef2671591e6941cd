import type { HealthOptions } from './healthOptions.js'
import type { TargetState } from './targetState.js'

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)]
}

/** Returns whether a target fails too often in a row or against its peers. */
export function isOutlier(
  state: TargetState,
  peers: readonly TargetState[],
  options: HealthOptions,
): boolean {
  if (state.failuresInRow >= options.consecutiveFailures) return true
  if (state.outcomes < options.rateOutcomes) return false
  const rates: number[] = []
  for (const peer of peers)
    if (peer.outcomes >= options.rateOutcomes) rates.push(peer.successRate)
  const usual = median(rates)
  if (usual === undefined) return false
  return usual - state.successRate > options.maxRateGap
}
