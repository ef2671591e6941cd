import {
  fleetAllowance,
  type FleetLimit,
  type PeerUsage,
} from '@auburnbay/core'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import { createRandom } from '../routing/bench/createRandom.js'
import type { UsageMeter, MeasuredLimit } from './measuredLimit.js'

/** Options for {@link runFleetLimit}. */
export interface RunFleetLimitOptions {
  readonly limit: MeasuredLimit
  readonly routers: number
  /** Arrivals a second over all routers. */
  readonly arrivalsPerS: number
  readonly meanRunMs: number
  readonly lengthMs: number
  /** Whether two routers receive each other's digests. */
  readonly connected: (a: number, b: number, atMs: number) => boolean
  /** Use below which a router admits requests. @default fleetAllowance */
  readonly allowance?: (state: FleetLimit) => number
}

/** Result of a run. */
export interface FleetLimitRun {
  readonly arrivals: number
  readonly admitted: number
  /** Largest excess of the use over the limit. */
  readonly overshoot: number
  /** Admissions above the limit by more than one interval's arrivals. */
  readonly beyondInterval: number
  /** Times of admissions above the limit. */
  readonly overLimitAtMs: readonly number[]
}

/** Milliseconds between two digests; the daemon's default. */
export const DIGEST_INTERVAL_MS = 500
/** Milliseconds after which a digest is stale, as in the daemon. */
export const STALE_MS = 1.5 * DIGEST_INTERVAL_MS
const SEED = 11

interface ReceivedUsage {
  readonly used: number
  readonly demand: number
  readonly atMs: number
}

/** Runs the admission decisions of all routers on one seeded trace. */
export function runFleetLimit(options: RunFleetLimitOptions): FleetLimitRun {
  const { limit, routers, lengthMs, connected } = options
  const allowance = options.allowance ?? fleetAllowance
  const random = createRandom(SEED)
  const events = createEventQueue()
  const meters: UsageMeter[] = []
  const demandMeters: (UsageMeter | undefined)[] = []
  const received: Map<number, ReceivedUsage>[] = []
  const exactMeter = limit.createExactMeter()
  const recentArrivalsMs: number[] = []
  const overLimitAtMs: number[] = []
  let arrivals = 0
  let admitted = 0
  let overshoot = 0
  let beyondInterval = 0

  function mayAdmit(router: number, nowMs: number): boolean {
    const peers: PeerUsage[] = []
    for (let peer = 0; peer < routers; peer += 1) {
      if (peer === router) continue
      const last = received[router]?.get(peer)
      const ageMs = last ? nowMs - last.atMs : Infinity
      const { used = 0, demand = 0 } = last ?? {}
      peers.push({ router: `router-${peer}`, used, received: demand, ageMs })
    }
    const allowedUse = allowance({
      limit: limit.limit,
      key: limit.name,
      router: `router-${router}`,
      received: demandMeters[router]?.used(nowMs),
      peers,
      staleMs: STALE_MS,
      holdMs: limit.holdMs,
    })
    return (meters[router]?.used(nowMs) ?? 0) < allowedUse
  }

  function recordOverLimit(nowMs: number): void {
    const excess = exactMeter.used(nowMs) - limit.limit
    if (excess <= 0) return
    while (
      recentArrivalsMs[0] !== undefined &&
      recentArrivalsMs[0] <= nowMs - DIGEST_INTERVAL_MS
    )
      recentArrivalsMs.shift()
    overshoot = Math.max(overshoot, excess)
    overLimitAtMs.push(nowMs)
    if (excess > recentArrivalsMs.length) beyondInterval += 1
  }

  function arrive(router: number, nowMs: number): void {
    arrivals += 1
    recentArrivalsMs.push(nowMs)
    demandMeters[router]?.recordAdmission(nowMs)
    if (!mayAdmit(router, nowMs)) return
    admitted += 1
    meters[router]?.recordAdmission(nowMs)
    exactMeter.recordAdmission(nowMs)
    recordOverLimit(nowMs)
    events.at(nowMs + random.exponential(options.meanRunMs), () => {
      meters[router]?.recordEnd()
      exactMeter.recordEnd()
    })
  }

  function createDigest(router: number, nowMs: number): ReceivedUsage {
    const used = meters[router]?.used(nowMs) ?? 0
    const demand = demandMeters[router]?.used(nowMs) ?? 0
    return { used, demand, atMs: nowMs }
  }

  /** Exchanges digests with each connected peer; a heartbeat carries them both ways. */
  function exchangeDigests(router: number, nowMs: number): void {
    for (let peer = 0; peer < routers; peer += 1) {
      if (peer === router || !connected(router, peer, nowMs)) continue
      received[router]?.set(peer, createDigest(peer, nowMs))
      received[peer]?.set(router, createDigest(router, nowMs))
    }
    scheduleExchange(router, nowMs + DIGEST_INTERVAL_MS)
  }

  function scheduleExchange(router: number, atMs: number): void {
    if (atMs >= lengthMs) return
    events.at(atMs, () => {
      exchangeDigests(router, atMs)
    })
  }

  for (let router = 0; router < routers; router += 1) {
    meters.push(limit.createMeter())
    demandMeters.push(limit.createDemandMeter?.())
    received.push(new Map())
    scheduleExchange(router, random.unit() * DIGEST_INTERVAL_MS)
  }
  let atMs = 0
  while (atMs < lengthMs) {
    atMs += random.exponential(1_000 / options.arrivalsPerS)
    const router = random.below(routers)
    const arrivalMs = atMs
    events.at(arrivalMs, () => {
      arrive(router, arrivalMs)
    })
  }
  events.runUntil(Infinity)
  return { arrivals, admitted, overshoot, beyondInterval, overLimitAtMs }
}
