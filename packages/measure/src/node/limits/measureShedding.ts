import type { Figure } from '../figure.js'
import type { Deployment } from './deployments.js'
import { createForecastRule } from './createForecastRule.js'
import { type CapacityRule, createStaticRule } from './queuePolicy.js'
import {
  MAX_WAITING,
  meanRejectionWaitMs,
  runRanked,
  servedShare,
  topRankWaitP95Ms,
  createQueueTrace,
} from './queueRuns.js'

const OVERLOAD = 2
const BURST_INTERVAL_MS = 30_000
const BURST_MS = 3_000
const BURST_LOAD = 3
const LOAD_BETWEEN_BURSTS = 0.6
const FORECAST = { windowMs: 5_000, sampleMs: 500 }

interface SheddingRule {
  readonly name: string
  readonly createRule?: () => CapacityRule
}

/** Rules under comparison; without `createRule`, the daemon's rule applies. */
const rules: readonly SheddingRule[] = [
  { name: 'drain-time' },
  { name: 'static-1024', createRule: () => createStaticRule(MAX_WAITING) },
  { name: 'static-64', createRule: () => createStaticRule(64) },
  {
    name: 'forecast-256-10s',
    createRule: () =>
      createForecastRule({ ...FORECAST, maxWaiting: 256, horizonMs: 10_000 }),
  },
  {
    name: 'forecast-64-5s',
    createRule: () =>
      createForecastRule({ ...FORECAST, maxWaiting: 64, horizonMs: 5_000 }),
  },
  {
    name: 'forecast-64-2s',
    createRule: () =>
      createForecastRule({ ...FORECAST, maxWaiting: 64, horizonMs: 2_000 }),
  },
]

function burstLoad(atMs: number): number {
  return atMs % BURST_INTERVAL_MS < BURST_MS ? BURST_LOAD : LOAD_BETWEEN_BURSTS
}

/** Measures when shedding starts: bounds on the queue against a forecast. */
export function measureShedding(deployment: Deployment): Figure[] {
  const overload = createQueueTrace(deployment, () => OVERLOAD)
  const bursts = createQueueTrace(deployment, burstLoad)
  return rules.flatMap(({ name, createRule }) => {
    const measure = `limits.${deployment.name}.shedding.${name}`
    const run = runRanked(deployment, overload, createRule?.())
    return [
      {
        measure: `${measure}.refusal-wait`,
        value: meanRejectionWaitMs(run),
        unit: 'ms, mean at twice the load',
      },
      {
        measure: `${measure}.top-rank-wait-p95`,
        value: topRankWaitP95Ms(run),
        unit: 'ms at twice the load',
      },
      {
        measure: `${measure}.served-in-bursts`,
        value: servedShare(runRanked(deployment, bursts, createRule?.())),
        unit: 'share of all requests',
      },
    ]
  })
}
