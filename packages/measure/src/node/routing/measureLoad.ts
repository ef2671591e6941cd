import { BoundKind, type Figure } from '../figure.js'
import { deployments, runGrants, runWay, traceOf } from './benchRuns.js'
import type { Deployment } from './bench/deployment.js'
import type { CreateWay } from './bench/routingWay.js'
import {
  createAllKnowingWay,
  createBoundedHashWay,
  createLeastLoadedWay,
  createModuloWay,
  createRandomWay,
  createTwoOfTopWay,
} from './bench/ways/baselineWays.js'

const REUSE_BOUND = 0.95
const MAX_LOAD_FACTOR = 1.25
/** Milliseconds that a request waits for the home at most. */
const HOME_LIMIT_MS = 5
const SILENCE = { fromMs: 480_000, toMs: 660_000 }
/** Each router sees the VM list a different time late. */
const listLagMs = (router: number): number => router * 250

const baselines: readonly (readonly [string, CreateWay])[] = [
  ['modulo', createModuloWay],
  ['random', createRandomWay],
  ['least-loaded', createLeastLoadedWay],
  ['a-bounded-hash', createBoundedHashWay],
  ['b-two-of-top', createTwoOfTopWay],
  ['all-knowing', createAllKnowingWay],
]

function measureBaselines(deployment: Deployment): Figure[] {
  const arrivals = traceOf(deployment, true)
  return baselines.flatMap(([name, createWay]) => {
    const { peakSkew, overBound, reuse } = runWay(
      deployment,
      arrivals,
      createWay,
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
  const arrivals = traceOf(deployment, true)
  const absences = [{ target: 2, fromMs: 560_000, toMs: 680_000 }]
  const changes = { absences, listLagMs }
  const { result, tally } = runGrants(deployment, arrivals, {}, changes)
  const hashed = runWay(deployment, arrivals, createBoundedHashWay, changes)
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
      bound: HOME_LIMIT_MS,
    },
  ]
}

function measureSteady(deployment: Deployment): Figure[] {
  const arrivals = traceOf(deployment, false)
  const known = runWay(deployment, arrivals, createAllKnowingWay)
  const hashed = runWay(deployment, arrivals, createBoundedHashWay)
  const { result } = runGrants(deployment, arrivals)
  const unhinted = runGrants(deployment, arrivals, { hints: false })
  const name = `routing.${deployment.name}.grants`
  return [
    {
      measure: `${name}.reuse-of-all-knowing`,
      value: result.reuse / known.reuse,
      unit: 'ratio',
      bound: REUSE_BOUND,
      boundKind: BoundKind.AtLeast,
      baseline: hashed.reuse / known.reuse,
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
      value: unhinted.result.reuse / known.reuse,
      unit: 'ratio',
    },
  ]
}

function measureSilence(deployment: Deployment): Figure[] {
  const arrivals = traceOf(deployment, true)
  const { result, tally } = runGrants(deployment, arrivals, {
    silence: SILENCE,
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
      bound: HOME_LIMIT_MS,
    },
    {
      measure: `${name}.forced`,
      value: tally.sources.forced / result.placements,
      unit: 'share of requests',
    },
  ]
}

/** Load bound, skew and reuse of every way, steady and under surge. */
export function measureLoad(): Figure[] {
  return deployments.flatMap((deployment) => [
    ...measureBaselines(deployment),
    ...measureSurge(deployment),
    ...measureSteady(deployment),
    ...measureSilence(deployment),
  ])
}
