import { fleetAllowance, type FleetLimit } from '@auburnbay/core'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import { createRandom } from '../routing/bench/createRandom.js'
import type { LimitMeter, MeasuredLimit } from './limitMeter.js'

/** How a fleet is driven against one customer's limit. */
export interface FleetLimitOptions {
  readonly limit: MeasuredLimit
  readonly routers: number
  /** Arrivals a second over the whole fleet. */
  readonly arrivalsPerS: number
  readonly meanRunMs: number
  readonly lengthMs: number
  /** Whether two routers hear each other. */
  readonly connected: (a: number, b: number, atMs: number) => boolean
  /** Admits while the router's own use is below. @default fleetAllowance */
  readonly allowance?: (state: FleetLimit) => number
}

/** What a fleet admitted. */
export interface FleetLimitRun {
  readonly arrivals: number
  readonly admitted: number
  /** Largest use above the limit. */
  readonly overshoot: number
  /** Admissions above the limit by more than one interval's arrivals. */
  readonly beyondInterval: number
  /** Times of admissions above the limit. */
  readonly aboveAtMs: readonly number[]
}

/** Milliseconds between two digests, as the daemon's default. */
export const DIGEST_MS = 500
/** Milliseconds after which a digest is stale, as in the daemon. */
export const STALE_MS = 1.5 * DIGEST_MS
const SEED = 11

interface Heard {
  readonly used: number
  readonly asked: number
  readonly atMs: number
}

/** Drives every router's decisions on one seeded trace. */
export function runFleetLimit(options: FleetLimitOptions): FleetLimitRun {
  const { limit, routers, lengthMs, connected } = options
  const allow = options.allowance ?? fleetAllowance
  const random = createRandom(SEED)
  const events = createEventQueue()
  const meters: LimitMeter[] = []
  const demands: (LimitMeter | undefined)[] = []
  const heard: Map<number, Heard>[] = []
  const truth = limit.createTruth()
  const recent: number[] = []
  const aboveAtMs: number[] = []
  let arrivals = 0
  let admitted = 0
  let overshoot = 0
  let beyondInterval = 0

  function mayAdmit(router: number, nowMs: number): boolean {
    const peers = []
    for (let peer = 0; peer < routers; peer += 1) {
      if (peer === router) continue
      const last = heard[router]?.get(peer)
      const ageMs = last ? nowMs - last.atMs : Infinity
      const { used = 0, asked = 0 } = last ?? {}
      peers.push({ router: `router-${peer}`, used, asked, ageMs })
    }
    const allowed = allow({
      limit: limit.limit,
      key: limit.name,
      router: `router-${router}`,
      asked: demands[router]?.used(nowMs),
      peers,
      staleMs: STALE_MS,
      holdMs: limit.holdMs,
    })
    return (meters[router]?.used(nowMs) ?? 0) < allowed
  }

  function judge(nowMs: number): void {
    const above = truth.used(nowMs) - limit.limit
    if (above <= 0) return
    while (recent[0] !== undefined && recent[0] <= nowMs - DIGEST_MS)
      recent.shift()
    overshoot = Math.max(overshoot, above)
    aboveAtMs.push(nowMs)
    if (above > recent.length) beyondInterval += 1
  }

  function arrive(router: number, nowMs: number): void {
    arrivals += 1
    recent.push(nowMs)
    demands[router]?.add(nowMs)
    if (!mayAdmit(router, nowMs)) return
    admitted += 1
    meters[router]?.add(nowMs)
    truth.add(nowMs)
    judge(nowMs)
    events.at(nowMs + random.exponential(options.meanRunMs), () => {
      meters[router]?.end()
      truth.end()
    })
  }

  function digestOf(router: number, nowMs: number): Heard {
    const used = meters[router]?.used(nowMs) ?? 0
    const asked = demands[router]?.used(nowMs) ?? 0
    return { used, asked, atMs: nowMs }
  }

  /** A heartbeat carries digests both ways. */
  function exchange(router: number, nowMs: number): void {
    for (let peer = 0; peer < routers; peer += 1) {
      if (peer === router || !connected(router, peer, nowMs)) continue
      heard[router]?.set(peer, digestOf(peer, nowMs))
      heard[peer]?.set(router, digestOf(router, nowMs))
    }
    exchangeAt(router, nowMs + DIGEST_MS)
  }

  function exchangeAt(router: number, atMs: number): void {
    if (atMs >= lengthMs) return
    events.at(atMs, () => {
      exchange(router, atMs)
    })
  }

  for (let router = 0; router < routers; router += 1) {
    meters.push(limit.createMeter())
    demands.push(limit.createDemand?.())
    heard.push(new Map())
    exchangeAt(router, random.unit() * DIGEST_MS)
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
  return { arrivals, admitted, overshoot, beyondInterval, aboveAtMs }
}
