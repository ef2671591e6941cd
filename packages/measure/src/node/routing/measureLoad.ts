import { BoundKind, type Figure } from '../figure.js'
import {
  deployments,
  runGrantStrategy,
  runStrategy,
  createRoutingTrace,
} from './routingRuns.js'
import type { Deployment } from './bench/deployment.js'
import type { CreateRoutingStrategy } from './bench/routingStrategy.js'
import {
  createOracleStrategy,
  createBoundedHashStrategy,
  createLeastLoadedStrategy,
  createModuloStrategy,
  createRandomStrategy,
  createTwoOfTopStrategy,
} from './bench/strategies/baselineStrategies.js'

const MIN_REUSE_RATIO = 0.95
const MAX_LOAD_FACTOR = 1.25
/** Longest wait of a request for the coordinator. */
const COORDINATOR_TIMEOUT_MS = 5
const COORDINATOR_OUTAGE = { fromMs: 480_000, toMs: 660_000 }
/** Each router's VM list is delayed by a different time. */
const listLagMs = (router: number): number => router * 250

const baselines: readonly (readonly [string, CreateRoutingStrategy])[] = [
  ['modulo', createModuloStrategy],
  ['random', createRandomStrategy],
  ['least-loaded', createLeastLoadedStrategy],
  ['a-bounded-hash', createBoundedHashStrategy],
  ['b-two-of-top', createTwoOfTopStrategy],
  ['all-knowing', createOracleStrategy],
]

function measureBaselines(deployment: Deployment): Figure[] {
  const arrivals = createRoutingTrace(deployment, true)
  return baselines.flatMap(([name, createStrategy]) => {
    const { peakSkew, overBound, reuse } = runStrategy(
      deployment,
      arrivals,
      createStrategy,
    )
    const measure = `routing.${deployment.name}.${name}`
    return [
      { measure: `${measure}.peak-skew`, value: peakSkew, unit: 'x mean' },
      {
        measure: `${measure}.over-bound`,
        value: overBound,
        unit: 'placements',
      },
      { measure: `${measure}.reuse`, value: reuse, unit: 'share' },
    ]
  })
}

function measureSurge(deployment: Deployment): Figure[] {
  const arrivals = createRoutingTrace(deployment, true)
  const absences = [{ target: 2, fromMs: 560_000, toMs: 680_000 }]
  const overrides = { absences, listLagMs }
  const { result, tally } = runGrantStrategy(
    deployment,
    arrivals,
    {},
    overrides,
  )
  const hashed = runStrategy(
    deployment,
    arrivals,
    createBoundedHashStrategy,
    overrides,
  )
  const { sources, longestWaitMs } = tally
  const name = `routing.${deployment.name}`
  return [
    {
      measure: `${name}.grants.over-bound-in-surge`,
      value: result.overBound,
      unit: 'placements',
      bound: 0,
      baseline: hashed.overBound,
    },
    {
      measure: `${name}.grants.peak-skew`,
      value: result.peakSkew,
      unit: 'x mean',
      bound: MAX_LOAD_FACTOR,
      baseline: hashed.peakSkew,
    },
    {
      measure: `${name}.grants.round-trips`,
      value: sources.grant / result.placements,
      unit: 'share of requests',
    },
    {
      measure: `${name}.grants.longest-wait`,
      value: longestWaitMs,
      unit: 'ms',
      bound: COORDINATOR_TIMEOUT_MS,
    },
  ]
}

function measureSteady(deployment: Deployment): Figure[] {
  const arrivals = createRoutingTrace(deployment, false)
  const oracle = runStrategy(deployment, arrivals, createOracleStrategy)
  const hashed = runStrategy(deployment, arrivals, createBoundedHashStrategy)
  const { result } = runGrantStrategy(deployment, arrivals)
  const unhinted = runGrantStrategy(deployment, arrivals, { hints: false })
  const name = `routing.${deployment.name}.grants`
  return [
    {
      measure: `${name}.reuse-of-all-knowing`,
      value: result.reuse / oracle.reuse,
      unit: 'ratio',
      bound: MIN_REUSE_RATIO,
      boundKind: BoundKind.AtLeast,
      baseline: hashed.reuse / oracle.reuse,
    },
    {
      measure: `${name}.over-bound-steady`,
      value: result.overBound,
      unit: 'placements',
      bound: 0,
      baseline: hashed.overBound,
    },
    {
      measure: `${name}.reuse-of-all-knowing-without-hint`,
      value: unhinted.result.reuse / oracle.reuse,
      unit: 'ratio',
    },
  ]
}

function measureCoordinatorOutage(deployment: Deployment): Figure[] {
  const arrivals = createRoutingTrace(deployment, true)
  const { result, tally } = runGrantStrategy(deployment, arrivals, {
    coordinatorOutage: COORDINATOR_OUTAGE,
  })
  const name = `routing.${deployment.name}.silent-home`
  return [
    {
      measure: `${name}.over-bound`,
      value: result.overBound,
      unit: 'placements',
      bound: 0,
    },
    {
      measure: `${name}.unplaced`,
      value: result.unplaced,
      unit: 'requests',
      bound: 0,
    },
    {
      measure: `${name}.longest-wait`,
      value: tally.longestWaitMs,
      unit: 'ms',
      bound: COORDINATOR_TIMEOUT_MS,
    },
    {
      measure: `${name}.forced`,
      value: tally.sources.forced / result.placements,
      unit: 'share of requests',
    },
  ]
}

/** Measures load bound, skew and reuse of each strategy, steady and in a surge. */
export function measureLoad(): Figure[] {
  return deployments.flatMap((deployment) => [
    ...measureBaselines(deployment),
    ...measureSurge(deployment),
    ...measureSteady(deployment),
    ...measureCoordinatorOutage(deployment),
  ])
}
