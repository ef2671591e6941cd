import type { Figure } from '../figure.js'
import type { Deployment } from './deployments.js'
import { forecastRule } from './forecastRule.js'
import { type CapacityRule, staticRule } from './queuePolicy.js'
import {
  MAX_WAITING,
  refusalWaitMs,
  runRanked,
  servedShare,
  topWaitMs,
  traceOf,
} from './queueRuns.js'

const OVERLOAD = 2
const BURST_EVERY_MS = 30_000
const BURST_MS = 3_000
const BURST_LOAD = 3
const LOAD_BETWEEN = 0.6
const FORECAST = { windowMs: 5_000, sampleMs: 500 }

interface SheddingWay {
  readonly way: string
  readonly rule?: () => CapacityRule
}

/** The daemon's way has no rule of its own here. */
const ways: readonly SheddingWay[] = [
  { way: 'drain-time' },
  { way: 'static-1024', rule: () => staticRule(MAX_WAITING) },
  { way: 'static-64', rule: () => staticRule(64) },
  {
    way: 'forecast-256-10s',
    rule: () =>
      forecastRule({ ...FORECAST, maxWaiting: 256, horizonMs: 10_000 }),
  },
  {
    way: 'forecast-64-5s',
    rule: () => forecastRule({ ...FORECAST, maxWaiting: 64, horizonMs: 5_000 }),
  },
  {
    way: 'forecast-64-2s',
    rule: () => forecastRule({ ...FORECAST, maxWaiting: 64, horizonMs: 2_000 }),
  },
]

function burstLoad(atMs: number): number {
  return atMs % BURST_EVERY_MS < BURST_MS ? BURST_LOAD : LOAD_BETWEEN
}

/** When to start shedding: bounds on the queue against the forecast. */
export function measureShedding(deployment: Deployment): Figure[] {
  const overload = traceOf(deployment, () => OVERLOAD)
  const bursts = traceOf(deployment, burstLoad)
  return ways.flatMap(({ way, rule }) => {
    const measure = `limits.${deployment.name}.shedding.${way}`
    const run = runRanked(deployment, overload, rule?.())
    return [
      {
        measure: `${measure}.refusal-wait`,
        value: refusalWaitMs(run),
        unit: 'ms, mean at twice the load',
      },
      {
        measure: `${measure}.top-rank-wait-p95`,
        value: topWaitMs(run),
        unit: 'ms at twice the load',
      },
      {
        measure: `${measure}.served-in-bursts`,
        value: servedShare(runRanked(deployment, bursts, rule?.())),
        unit: 'share of all requests',
      },
    ]
  })
}
