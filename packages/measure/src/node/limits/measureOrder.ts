import type { Figure } from '../figure.js'
import { RANKS } from './createTrace.js'
import type { Deployment } from './deployments.js'
import { createStaticRule } from './queuePolicy.js'
import {
  MAX_WAITING,
  runFifo,
  runRanked,
  servedShare,
  topRankWaitP95Ms,
  createQueueTrace,
} from './queueRuns.js'

const OVERLOAD = 2
const NORMAL_LOAD = 0.8
/** Bound on the 95th percentile of the time to the first token. */
const MAX_FIRST_TOKEN_MS = 500

/** Measures the order of a router's queue at twice the load of its slots. */
export function measureOrder(deployment: Deployment): Figure[] {
  const { name } = deployment
  const overload = createQueueTrace(deployment, () => OVERLOAD)
  const normal = createQueueTrace(deployment, () => NORMAL_LOAD)
  const run = runRanked(deployment, overload)
  const fifo = runFifo(deployment, overload)
  const [topRank = 0] = RANKS
  const lowestRank = RANKS.at(-1)
  const unreserved = runRanked(deployment, overload, undefined, 0)
  return [
    {
      measure: `limits.${name}.waits-behind-lower-rank`,
      value: run.inversions,
      unit: 'starts beyond the ageing rule',
      bound: 0,
      baseline: fifo.inversions,
    },
    {
      measure: `limits.${name}.top-rank-wait-p95-overload`,
      value: topRankWaitP95Ms(run),
      unit: 'ms',
      bound: MAX_FIRST_TOKEN_MS,
      baseline: topRankWaitP95Ms(fifo),
    },
    {
      measure: `limits.${name}.top-rank-wait-p95-normal`,
      value: topRankWaitP95Ms(runRanked(deployment, normal)),
      unit: 'ms',
      bound: MAX_FIRST_TOKEN_MS,
      baseline: topRankWaitP95Ms(runFifo(deployment, normal)),
    },
    {
      measure: `limits.${name}.top-rank-wait-p95-without-reserve`,
      value: topRankWaitP95Ms(unreserved),
      unit: 'ms',
    },
    {
      measure: `limits.${name}.served-with-reserve`,
      value: servedShare(run),
      unit: 'share of all requests',
      baseline: servedShare(unreserved),
    },
    {
      measure: `limits.${name}.top-rank-not-served`,
      value: 1 - servedShare(run, topRank),
      unit: 'share of the top rank',
      bound: 0,
      baseline: 1 - servedShare(fifo, topRank),
    },
    {
      measure: `limits.${name}.shed-before-lower-rank`,
      value: run.wrongSheds,
      unit: 'requests',
      bound: 0,
    },
    {
      measure: `limits.${name}.lowest-rank-served`,
      value: servedShare(run, lowestRank),
      unit: 'share of the lowest rank',
      baseline: servedShare(
        runRanked(deployment, overload, createStaticRule(MAX_WAITING)),
        lowestRank,
      ),
    },
  ]
}
