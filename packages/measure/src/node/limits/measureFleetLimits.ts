import { fleetAllowance, type FleetLimit } from '@auburnbay/core'
import type { Figure } from '../figure.js'
import { MEAN_RUN_MS } from './deployments.js'
import { inFlightLimit, type MeasuredLimit, rateLimitOf } from './limitMeter.js'
import { type FleetLimitRun, runFleetLimit, STALE_MS } from './runFleetLimit.js'

const ROUTERS = 9
const LENGTH_MS = 300_000
const CUT_AT_MS = 150_000
const HOLD_MS = 120_000
/** Demand of a customer that surges, as a multiple of its limit. */
const SURGE_FACTOR = 10
const MS_PER_S = 1_000

const inFlight = (limit: number) => inFlightLimit(limit, HOLD_MS)
const limits: readonly { limit: MeasuredLimit; arrivalsPerS: number }[] = [
  ...[2, 40, 400].map((limit) => ({
    limit: inFlight(limit),
    arrivalsPerS: (SURGE_FACTOR * limit * MS_PER_S) / MEAN_RUN_MS,
  })),
  ...[0.5, 20].map((rate) => ({
    limit: rateLimitOf(rate),
    arrivalsPerS: SURGE_FACTOR * rate,
  })),
]

type Connected = (a: number, b: number, atMs: number) => boolean

const always: Connected = () => true
const never: Connected = () => false
const untilCut: Connected = (_a, _b, atMs) => atMs < CUT_AT_MS
const halves: Connected = (a, b, atMs) => atMs < CUT_AT_MS || a % 2 === b % 2

/** Baseline: a silent router counts for nothing. */
function ignoreSilent(state: FleetLimit): number {
  const peers = state.peers.filter(({ ageMs }) => ageMs <= STALE_MS)
  return fleetAllowance({ ...state, peers })
}

/** Baseline: each router always keeps to its part. */
function staticParts(state: FleetLimit): number {
  const peers = state.peers.map((peer) => ({
    ...peer,
    used: 0,
    ageMs: Infinity,
  }))
  return fleetAllowance({ ...state, peers })
}

function aboveAfter(run: FleetLimitRun, fromMs: number): number {
  return run.aboveAtMs.filter((atMs) => atMs >= fromMs).length
}

function measureLimit(limit: MeasuredLimit, arrivalsPerS: number): Figure[] {
  const drive = (
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
  const fresh = drive(always)
  const cut = drive(untilCut)
  const parted = drive(halves)
  // A window of a rate looks back on the time when digests were trusted.
  const cutFromMs = CUT_AT_MS + STALE_MS + limit.lookbackMs
  const unit = 'admissions above the limit'
  const beyond = "admissions above the limit by over an interval's arrivals"
  return [
    {
      measure: `${measure}.beyond-one-interval`,
      value: fresh.beyondInterval,
      unit: beyond,
      bound: 0,
      baseline: drive(never, ignoreSilent).beyondInterval,
    },
    {
      measure: `${measure}.overshoot`,
      value: fresh.overshoot,
      unit: 'requests above the limit',
    },
    {
      measure: `${measure}.admitted`,
      value: fresh.admitted,
      unit: 'requests; baseline fixed parts',
      baseline: drive(always, staticParts).admitted,
    },
    {
      measure: `${measure}.digests-never-heard`,
      value: aboveAfter(drive(never), 0),
      unit,
      bound: 0,
      baseline: aboveAfter(drive(never, ignoreSilent), 0),
    },
    {
      measure: `${measure}.digests-cut-under-way`,
      value: aboveAfter(cut, cutFromMs),
      unit,
      bound: 0,
      baseline: aboveAfter(drive(untilCut, ignoreSilent), cutFromMs),
    },
    {
      measure: `${measure}.beyond-one-interval-at-the-cut`,
      value: cut.beyondInterval,
      unit: beyond,
      bound: 0,
    },
    {
      measure: `${measure}.beyond-one-interval-while-parted`,
      value: parted.beyondInterval,
      unit: beyond,
      bound: 0,
      baseline: drive(halves, ignoreSilent).beyondInterval,
    },
  ]
}

/** Customers' limits over nine routers, with digests and without. */
export function measureFleetLimits(): Figure[] {
  return limits.flatMap(({ limit, arrivalsPerS }) =>
    measureLimit(limit, arrivalsPerS),
  )
}
