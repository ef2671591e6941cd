import { LRUCache } from 'lru-cache'
import { createEventQueue } from './createEventQueue.js'
import type { Arrival } from './createTrace.js'
import type { Deployment } from './deployment.js'
import type {
  SimulatedFleet,
  CreateRoutingStrategy,
} from './routingStrategy.js'

/** Period in which a target is missing from the VM list. */
export interface TargetAbsence {
  readonly target: number
  readonly fromMs: number
  readonly toMs: number
}

/** Permanent failure of a router. */
export interface RouterFailure {
  readonly router: number
  readonly atMs: number
}

/** Options for {@link simulateRouting}. */
export interface SimulateRoutingOptions {
  readonly deployment: Deployment
  readonly arrivals: readonly Arrival[]
  readonly createStrategy: CreateRoutingStrategy
  /** Reuse and skew are recorded from this time on. */
  readonly warmUpMs: number
  readonly lengthMs: number
  readonly absences?: readonly TargetAbsence[]
  readonly failures?: readonly RouterFailure[]
  /** Milliseconds by which a router's VM list is delayed. @default 0 */
  readonly listLagMs?: (router: number) => number
}

/** Result of a run. */
export interface RoutingResult {
  /** Requests that started on a target. */
  readonly placements: number
  /** Share of returning chats' requests that hit the target's prompt cache. */
  readonly reuse: number
  /** Greatest (load - 1) / mean load right after a placement. */
  readonly peakSkew: number
  /** Placements above the bound. */
  readonly overBound: number
  /** Greatest excess over the bound at any placement, in requests. */
  readonly worstExcess: number
  /** Requests that started on no target. */
  readonly unplaced: number
  /** Target of each request by its id. */
  readonly targetOf: ReadonlyMap<number, number>
  /** Times at which a chat left a listed target at or below the mean load. */
  readonly needlessMovesAtMs: readonly number[]
}

const REPORT_INTERVAL_MS = 500
const REPORT_LAG_MS = 2_000
const MAX_LOAD_FACTOR = 1.25
/** Tolerance for rounding errors of the bound, in requests. */
const ROUNDING = 1e-9

/** Runs a strategy over a trace in virtual time. */
export function simulateRouting(
  options: SimulateRoutingOptions,
): RoutingResult {
  const {
    deployment,
    arrivals,
    warmUpMs,
    absences = [],
    failures = [],
  } = options
  const { targets, routers } = deployment
  const queue = createEventQueue()
  const loads = new Array<number>(targets).fill(0)
  const caches = loads.map(
    () => new LRUCache<string, true>({ max: deployment.cacheChats }),
  )
  const seenChats = new Set<string>()
  const hints = new Map<string, number>()
  const targetOf = new Map<number, number>()
  const needlessMovesAtMs: number[] = []
  const reports: number[][] = []
  let placements = 0
  let returningRequests = 0
  let cacheHits = 0
  let overBound = 0
  let worstExcess = 0
  let peakSkew = 0
  let totalLoad = 0

  const listLagMs = options.listLagMs ?? (() => 0)
  const failureAtMs = (router: number): number =>
    failures.find((failure) => failure.router === router)?.atMs ?? Infinity

  const liveRoutersByKey = new Map<string, number[]>()

  function liveRoutersAt(atMs: number): number[] {
    const key = failures.map((failure) => Number(atMs < failure.atMs)).join('')
    const cached = liveRoutersByKey.get(key)
    if (cached) return cached
    const live: number[] = []
    for (let router = 0; router < routers; router += 1)
      if (atMs < failureAtMs(router)) live.push(router)
    liveRoutersByKey.set(key, live)
    return live
  }

  function isAbsent(target: number, lagMs: number): boolean {
    const atMs = queue.nowMs - lagMs
    for (const absence of absences)
      if (
        absence.target === target &&
        atMs >= absence.fromMs &&
        atMs < absence.toMs
      )
        return true
    return false
  }

  function checkBound(target: number): void {
    let live = 0
    for (let index = 0; index < targets; index += 1)
      if (!isAbsent(index, 0)) live += 1
    const mean = totalLoad / live
    const load = loads[target] ?? 0
    const excess = load - (MAX_LOAD_FACTOR * mean + 1)
    worstExcess = Math.max(worstExcess, excess)
    if (excess > ROUNDING) overBound += 1
    if (queue.nowMs >= warmUpMs)
      peakSkew = Math.max(peakSkew, (load - 1) / mean)
  }

  function recordReuse(arrival: Arrival, target: number): void {
    const cached = caches[target]?.get(arrival.chat) ?? false
    caches[target]?.set(arrival.chat, true)
    if (seenChats.has(arrival.chat) && queue.nowMs >= warmUpMs) {
      returningRequests += 1
      if (cached) cacheHits += 1
    }
    seenChats.add(arrival.chat)
  }

  function recordNeedlessMove(arrival: Arrival, target: number): void {
    const previous = hints.get(arrival.chat)
    if (previous === undefined || previous === target || isAbsent(previous, 0))
      return
    if ((loads[previous] ?? 0) <= totalLoad / targets)
      needlessMovesAtMs.push(queue.nowMs)
  }

  function startRequest(arrival: Arrival, target: number): void {
    placements += 1
    recordNeedlessMove(arrival, target)
    targetOf.set(arrival.id, target)
    loads[target] = (loads[target] ?? 0) + 1
    totalLoad += 1
    checkBound(target)
    recordReuse(arrival, target)
    hints.set(arrival.chat, target)
    const endMs = Math.min(
      queue.nowMs + arrival.durationMs,
      Math.max(queue.nowMs, failureAtMs(arrival.router)),
    )
    queue.at(endMs, () => {
      loads[target] = (loads[target] ?? 0) - 1
      totalLoad -= 1
      strategy.onRequestEnd(arrival, target)
    })
  }

  const fleet: SimulatedFleet = {
    get nowMs() {
      return queue.nowMs
    },
    targets,
    routers,
    maxLoadFactor: MAX_LOAD_FACTOR,
    schedule: (delayMs, task) => {
      queue.at(queue.nowMs + delayMs, task)
    },
    reportedLoad: (target) => reports[0]?.[target] ?? 0,
    isListed: (router, target) => !isAbsent(target, listLagMs(router)),
    liveRouters: (router) => liveRoutersAt(queue.nowMs - listLagMs(router)),
    callerHint: (arrival) => hints.get(arrival.chat),
    startRequest,
    trueLoad: (target) => loads[target] ?? 0,
    trueCacheTarget: (chat) => {
      const found = caches.findIndex((cache) => cache.has(chat))
      return found < 0 ? undefined : found
    },
  }

  function recordReport(): void {
    reports.push([...loads])
    if (reports.length > REPORT_LAG_MS / REPORT_INTERVAL_MS + 1) reports.shift()
    queue.at(queue.nowMs + REPORT_INTERVAL_MS, recordReport)
  }

  recordReport()
  const strategy = options.createStrategy(fleet)
  for (const arrival of arrivals) {
    const router = liveRouterFor(arrival)
    queue.at(arrival.atMs, () => {
      strategy.onArrival(
        router === arrival.router ? arrival : { ...arrival, router },
      )
    })
  }

  function liveRouterFor(arrival: Arrival): number {
    for (let step = 0; step < routers; step += 1) {
      const router = (arrival.router + step) % routers
      if (arrival.atMs < failureAtMs(router)) return router
    }
    return arrival.router
  }

  queue.runUntil(options.lengthMs)
  return {
    placements,
    reuse: cacheHits / Math.max(1, returningRequests),
    peakSkew,
    overBound,
    worstExcess,
    unplaced: arrivals.length - placements,
    targetOf,
    needlessMovesAtMs,
  }
}
