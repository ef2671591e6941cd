import { BoundKind, type Figure } from '../figure.js'
import { MAX_OVER_BOUND_SHARE, MIN_REUSE_RATIO } from './constants.js'
import { type PlacingTrace, placingTraces } from './placingTrace.js'
import { StateSharing } from './stateSharing.js'
import { type PlacingResult, simulatePlacing } from './simulatePlacing.js'

const FIRST_SEED = 11

function simulateSeeds(
  trace: PlacingTrace,
  sharing: StateSharing,
): PlacingResult {
  const sum = { requests: 0, cacheHits: 0, overBound: 0 }
  for (let run = 0; run < trace.runs; run += 1) {
    const result = simulatePlacing(trace, sharing, FIRST_SEED + run)
    sum.requests += result.requests
    sum.cacheHits += result.cacheHits
    sum.overBound += result.overBound
  }
  return sum
}

function measureTrace(trace: PlacingTrace): Figure[] {
  const unshared = simulateSeeds(trace, StateSharing.None)
  const digests = simulateSeeds(trace, StateSharing.Digests)
  const instant = simulateSeeds(trace, StateSharing.Instant)
  const reuseShare = ({ cacheHits, requests }: PlacingResult) =>
    cacheHits / requests
  const overBoundShare = ({ overBound, requests }: PlacingResult) =>
    overBound / requests
  return [
    {
      measure: `placing.${trace.name}.reuse`,
      value: reuseShare(digests),
      unit: 'share of requests that found their prompt; baseline: routers that know their own work alone',
      bound: MIN_REUSE_RATIO * reuseShare(instant),
      boundKind: BoundKind.AtLeast,
      baseline: reuseShare(unshared),
    },
    {
      measure: `placing.${trace.name}.over-the-bound`,
      value: overBoundShare(digests),
      unit: 'share of requests placed above twice the mean load plus 3; baseline: as above',
      bound: MAX_OVER_BOUND_SHARE,
      baseline: overBoundShare(unshared),
    },
  ]
}

/** Measures prompt reuse and the load bound while targets join and leave. */
export function measurePlacing(): Figure[] {
  return placingTraces.flatMap(measureTrace)
}
