import { LRUCache } from 'lru-cache'
import { createEventQueue } from './createEventQueue.js'
import type { Arrival } from './createTrace.js'
import type { Deployment } from './deployment.js'
import type { BenchFleet, CreateWay } from './routingWay.js'

/** A target that is off the VM list for a while. */
export interface Absence {
  readonly target: number
  readonly fromMs: number
  readonly toMs: number
}

/** A router that is gone for good. */
export interface RouterLoss {
  readonly router: number
  readonly atMs: number
}

/** One run of a way over a trace. */
export interface RunOptions {
  readonly deployment: Deployment
  readonly arrivals: readonly Arrival[]
  readonly createWay: CreateWay
  /** Figures count from here on. */
  readonly warmUpMs: number
  readonly lengthMs: number
  readonly absences?: readonly Absence[]
  readonly losses?: readonly RouterLoss[]
  /** Milliseconds after which each router's list follows, by its index. */
  readonly listLagMs?: (router: number) => number
}

/** What a run showed. */
export interface RunResult {
  readonly placements: number
  /** Share of the returning chats' requests that found their cache. */
  readonly reuse: number
  /** Greatest (load - 1) / mean load right after a placement. */
  readonly peakSkew: number
  /** Placements above the bound. */
  readonly overBound: number
  /** Greatest load above the bound at any placement, in requests. */
  readonly worstExcess: number
  /** Requests that no target took. */
  readonly unplaced: number
  /** Target of each request by its id. */
  readonly targetOf: ReadonlyMap<number, number>
  /** Times at which a chat left a listed target at or below the mean load. */
  readonly needlessMovesMs: readonly number[]
}

const REPORT_EVERY_MS = 500
const REPORT_LAG_MS = 2_000
const MAX_LOAD_FACTOR = 1.25
const ROUNDING = 1e-9

/** Runs a way over a trace in virtual time. */
export function simulateRouting(options: RunOptions): RunResult {
  const { deployment, arrivals, warmUpMs, absences = [], losses = [] } = options
  const { targets, routers } = deployment
  const queue = createEventQueue()
  const loads = new Array<number>(targets).fill(0)
  const caches = loads.map(
    () => new LRUCache<string, true>({ max: deployment.cacheChats }),
  )
  const seen = new Set<string>()
  const hints = new Map<string, number>()
  const targetOf = new Map<number, number>()
  const needlessMovesMs: number[] = []
  const reports: number[][] = []
  let placements = 0
  let returning = 0
  let hits = 0
  let overBound = 0
  let worstExcess = 0
  let peakSkew = 0
  let total = 0

  const lagOf = options.listLagMs ?? (() => 0)
  const lostAt = (router: number): number =>
    losses.find((loss) => loss.router === router)?.atMs ?? Infinity

  const liveLists = new Map<string, number[]>()

  function liveAt(atMs: number): number[] {
    const key = losses.map((loss) => Number(atMs < loss.atMs)).join('')
    const known = liveLists.get(key)
    if (known) return known
    const live: number[] = []
    for (let router = 0; router < routers; router += 1)
      if (atMs < lostAt(router)) live.push(router)
    liveLists.set(key, live)
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
    const mean = total / live
    const load = loads[target] ?? 0
    const excess = load - (MAX_LOAD_FACTOR * mean + 1)
    worstExcess = Math.max(worstExcess, excess)
    if (excess > ROUNDING) overBound += 1
    if (queue.nowMs >= warmUpMs)
      peakSkew = Math.max(peakSkew, (load - 1) / mean)
  }

  function countReuse(arrival: Arrival, target: number): void {
    const cached = caches[target]?.get(arrival.chat) ?? false
    caches[target]?.set(arrival.chat, true)
    if (seen.has(arrival.chat) && queue.nowMs >= warmUpMs) {
      returning += 1
      if (cached) hits += 1
    }
    seen.add(arrival.chat)
  }

  function noteMove(arrival: Arrival, target: number): void {
    const before = hints.get(arrival.chat)
    if (before === undefined || before === target || isAbsent(before, 0)) return
    if ((loads[before] ?? 0) <= total / targets)
      needlessMovesMs.push(queue.nowMs)
  }

  function run(arrival: Arrival, target: number): void {
    placements += 1
    noteMove(arrival, target)
    targetOf.set(arrival.id, target)
    loads[target] = (loads[target] ?? 0) + 1
    total += 1
    checkBound(target)
    countReuse(arrival, target)
    hints.set(arrival.chat, target)
    const endMs = Math.min(
      queue.nowMs + arrival.durationMs,
      Math.max(queue.nowMs, lostAt(arrival.router)),
    )
    queue.at(endMs, () => {
      loads[target] = (loads[target] ?? 0) - 1
      total -= 1
      way.ended(arrival, target)
    })
  }

  const fleet: BenchFleet = {
    get nowMs() {
      return queue.nowMs
    },
    targets,
    routers,
    maxLoadFactor: MAX_LOAD_FACTOR,
    after: (delayMs, task) => {
      queue.at(queue.nowMs + delayMs, task)
    },
    reported: (target) => reports[0]?.[target] ?? 0,
    listed: (router, target) => !isAbsent(target, lagOf(router)),
    liveRouters: (router) => liveAt(queue.nowMs - lagOf(router)),
    callerHint: (arrival) => hints.get(arrival.chat),
    run,
    trueLoad: (target) => loads[target] ?? 0,
    trulyCached: (chat) => {
      const found = caches.findIndex((cache) => cache.has(chat))
      return found < 0 ? undefined : found
    },
  }

  function report(): void {
    reports.push([...loads])
    if (reports.length > REPORT_LAG_MS / REPORT_EVERY_MS + 1) reports.shift()
    queue.at(queue.nowMs + REPORT_EVERY_MS, report)
  }

  report()
  const way = options.createWay(fleet)
  for (const arrival of arrivals) {
    const router = liveRouterFor(arrival)
    queue.at(arrival.atMs, () => {
      way.place(router === arrival.router ? arrival : { ...arrival, router })
    })
  }

  function liveRouterFor(arrival: Arrival): number {
    for (let step = 0; step < routers; step += 1) {
      const router = (arrival.router + step) % routers
      if (arrival.atMs < lostAt(router)) return router
    }
    return arrival.router
  }

  queue.runUntil(options.lengthMs)
  return {
    placements,
    reuse: hits / Math.max(1, returning),
    peakSkew,
    overBound,
    worstExcess,
    unplaced: arrivals.length - placements,
    targetOf,
    needlessMovesMs,
  }
}
