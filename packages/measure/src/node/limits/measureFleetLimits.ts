import { fleetAllowance, type FleetLimit } from '@auburnbay/core'
import type { Figure } from '../figure.js'
import { MEAN_RUN_MS } from './deployments.js'
import {
  createInFlightLimit,
  type MeasuredLimit,
  createRateLimit,
} from './measuredLimit.js'
import { type FleetLimitRun, runFleetLimit, STALE_MS } from './runFleetLimit.js'

const ROUTERS = 9
const LENGTH_MS = 300_000
const PARTITION_AT_MS = 150_000
const HOLD_MS = 120_000
/** Demand of a surging customer as a multiple of its limit. */
const SURGE_FACTOR = 10
const MS_PER_S = 1_000

const inFlight = (limit: number) => createInFlightLimit(limit, HOLD_MS)
const limits: readonly { limit: MeasuredLimit; arrivalsPerS: number }[] = [
  ...[2, 40, 400].map((limit) => ({
    limit: inFlight(limit),
    arrivalsPerS: (SURGE_FACTOR * limit * MS_PER_S) / MEAN_RUN_MS,
  })),
  ...[0.5, 20].map((rate) => ({
    limit: createRateLimit(rate),
    arrivalsPerS: SURGE_FACTOR * rate,
  })),
]

type Connected = (a: number, b: number, atMs: number) => boolean

const always: Connected = () => true
const never: Connected = () => false
const untilPartition: Connected = (_a, _b, atMs) => atMs < PARTITION_AT_MS
const partitionedInHalves: Connected = (a, b, atMs) =>
  atMs < PARTITION_AT_MS || a % 2 === b % 2

/** Baseline: peers without a fresh digest are ignored. */
function ignoreStalePeers(state: FleetLimit): number {
  const peers = state.peers.filter(({ ageMs }) => ageMs <= STALE_MS)
  return fleetAllowance({ ...state, peers })
}

/** Baseline: each router uses at most its fixed share. */
function fixedShares(state: FleetLimit): number {
  const peers = state.peers.map((peer) => ({
    ...peer,
    used: 0,
    ageMs: Infinity,
  }))
  return fleetAllowance({ ...state, peers })
}

function countOverLimitFrom(run: FleetLimitRun, fromMs: number): number {
  return run.overLimitAtMs.filter((atMs) => atMs >= fromMs).length
}

function measureLimit(limit: MeasuredLimit, arrivalsPerS: number): Figure[] {
  const run = (
    connected: Connected,
    allowance?: (state: FleetLimit) => number,
  ) =>
    runFleetLimit({
      limit,
      routers: ROUTERS,
      arrivalsPerS,
      meanRunMs: MEAN_RUN_MS,
      lengthMs: LENGTH_MS,
      connected,
      allowance,
    })
  const measure = `limits.customer.${limit.name}`
  const connectedRun = run(always)
  const partitionedRun = run(untilPartition)
  const halvedRun = run(partitionedInHalves)
  // A rate window still counts admissions from before the digests became stale.
  const partitionedFromMs = PARTITION_AT_MS + STALE_MS + limit.lookbackMs
  const unit = 'admissions above the limit'
  const beyond = "admissions above the limit by over an interval's arrivals"
  return [
    {
      measure: `${measure}.beyond-one-interval`,
      value: connectedRun.beyondInterval,
      unit: beyond,
      bound: 0,
      baseline: run(never, ignoreStalePeers).beyondInterval,
    },
    {
      measure: `${measure}.overshoot`,
      value: connectedRun.overshoot,
      unit: 'requests above the limit',
    },
    {
      measure: `${measure}.admitted`,
      value: connectedRun.admitted,
      unit: 'requests; baseline fixed parts',
      baseline: run(always, fixedShares).admitted,
    },
    {
      measure: `${measure}.digests-never-heard`,
      value: countOverLimitFrom(run(never), 0),
      unit,
      bound: 0,
      baseline: countOverLimitFrom(run(never, ignoreStalePeers), 0),
    },
    {
      measure: `${measure}.digests-cut-under-way`,
      value: countOverLimitFrom(partitionedRun, partitionedFromMs),
      unit,
      bound: 0,
      baseline: countOverLimitFrom(
        run(untilPartition, ignoreStalePeers),
        partitionedFromMs,
      ),
    },
    {
      measure: `${measure}.beyond-one-interval-at-the-cut`,
      value: partitionedRun.beyondInterval,
      unit: beyond,
      bound: 0,
    },
    {
      measure: `${measure}.beyond-one-interval-while-parted`,
      value: halvedRun.beyondInterval,
      unit: beyond,
      bound: 0,
      baseline: run(partitionedInHalves, ignoreStalePeers).beyondInterval,
    },
  ]
}

/** Measures a customer's limits over nine routers, with and without digests. */
export function measureFleetLimits(): Figure[] {
  return limits.flatMap(({ limit, arrivalsPerS }) =>
    measureLimit(limit, arrivalsPerS),
  )
}
