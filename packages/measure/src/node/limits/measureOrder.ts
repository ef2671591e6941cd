import type { Figure } from '../figure.js'
import { RANKS } from './createTrace.js'
import type { Deployment } from './deployments.js'
import { staticRule } from './queuePolicy.js'
import {
  MAX_WAITING,
  runFifo,
  runRanked,
  servedShare,
  topWaitMs,
  traceOf,
} from './queueRuns.js'

const OVERLOAD = 2
const NORMAL_LOAD = 0.8
/** Time to the first token for 95 in 100 requests. */
const FIRST_TOKEN_MS = 500

/** Order of a router's queue at twice the load that its places take. */
export function measureOrder(deployment: Deployment): Figure[] {
  const { name } = deployment
  const overload = traceOf(deployment, () => OVERLOAD)
  const normal = traceOf(deployment, () => NORMAL_LOAD)
  const run = runRanked(deployment, overload)
  const fifo = runFifo(deployment, overload)
  const [top = 0] = RANKS
  const lowest = RANKS.at(-1)
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
      value: topWaitMs(run),
      unit: 'ms',
      bound: FIRST_TOKEN_MS,
      baseline: topWaitMs(fifo),
    },
    {
      measure: `limits.${name}.top-rank-wait-p95-normal`,
      value: topWaitMs(runRanked(deployment, normal)),
      unit: 'ms',
      bound: FIRST_TOKEN_MS,
      baseline: topWaitMs(runFifo(deployment, normal)),
    },
    {
      measure: `limits.${name}.top-rank-wait-p95-without-reserve`,
      value: topWaitMs(unreserved),
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
      value: 1 - servedShare(run, top),
      unit: 'share of the top rank',
      bound: 0,
      baseline: 1 - servedShare(fifo, top),
    },
    {
      measure: `limits.${name}.shed-before-lower-rank`,
      value: run.wrongSheds,
      unit: 'requests',
      bound: 0,
    },
    {
      measure: `limits.${name}.lowest-rank-served`,
      value: servedShare(run, lowest),
      unit: 'share of the lowest rank',
      baseline: servedShare(
        runRanked(deployment, overload, staticRule(MAX_WAITING)),
        lowest,
      ),
    },
  ]
}
