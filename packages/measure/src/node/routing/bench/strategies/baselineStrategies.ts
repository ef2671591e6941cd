import { hash32, rendezvousOrder } from '@auburnbay/core'
import type { Arrival } from '../createTrace.js'
import { createRandom } from '../createRandom.js'
import type {
  SimulatedFleet,
  CreateRoutingStrategy,
  RoutingStrategy,
} from '../routingStrategy.js'

const STRATEGY_SEED = 77
const TOP_K = 4
const REPORT_LAG_MS = 2_000

/** Loads known to each router: delayed reports plus its own requests since then. */
interface RouterLoads {
  load(router: number, target: number): number
  recordStart(router: number, target: number): void
}

function createRouterLoads(fleet: SimulatedFleet): RouterLoads {
  const unreported = Array.from({ length: fleet.routers }, () =>
    new Array<number>(fleet.targets).fill(0),
  )

  function addUnreported(router: number, target: number, change: number): void {
    const counts = unreported[router] ?? []
    counts[target] = (counts[target] ?? 0) + change
  }

  return {
    load: (router, target) =>
      fleet.reportedLoad(target) + (unreported[router]?.[target] ?? 0),
    recordStart: (router, target) => {
      addUnreported(router, target, 1)
      fleet.schedule(REPORT_LAG_MS, () => {
        addUnreported(router, target, -1)
      })
    },
  }
}

type SelectTarget = (arrival: Arrival, loads: RouterLoads) => number | undefined

function createSynchronousStrategy(
  fleet: SimulatedFleet,
  selectTarget: SelectTarget,
): RoutingStrategy {
  const loads = createRouterLoads(fleet)
  return {
    onArrival(arrival) {
      const target = selectTarget(arrival, loads)
      if (target === undefined) return
      loads.recordStart(arrival.router, target)
      fleet.startRequest(arrival, target)
    },
    onRequestEnd: () => undefined,
  }
}

function listedTargets(fleet: SimulatedFleet, router: number): number[] {
  const listed: number[] = []
  for (let target = 0; target < fleet.targets; target += 1)
    if (fleet.isListed(router, target)) listed.push(target)
  return listed
}

/** Returns the targets in the chat's rendezvous order. */
export function targetsInChatOrder(
  chat: string,
  targets: readonly number[],
): number[] {
  const weighted = targets.map((target) => ({
    id: `t${target}`,
    weight: 1,
    target,
  }))
  return rendezvousOrder(chat, weighted).map(({ target }) => target)
}

/** Selects a target by modulo hashing of the chat. */
export const createModuloStrategy: CreateRoutingStrategy = (fleet) =>
  createSynchronousStrategy(fleet, ({ chat, router }) => {
    const listed = listedTargets(fleet, router)
    return listed[hash32(chat) % listed.length]
  })

/** Selects a target at random. */
export const createRandomStrategy: CreateRoutingStrategy = (fleet) => {
  const random = createRandom(STRATEGY_SEED)
  return createSynchronousStrategy(fleet, ({ router }) => {
    const listed = listedTargets(fleet, router)
    return listed[random.below(listed.length)]
  })
}

/** Selects the least loaded target by delayed reports and own requests. */
export const createLeastLoadedStrategy: CreateRoutingStrategy = (fleet) =>
  createSynchronousStrategy(fleet, ({ router }, loads) => {
    const listed = listedTargets(fleet, router)
    listed.sort(
      (a, b) => loads.load(router, a) - loads.load(router, b) || a - b,
    )
    return listed[0]
  })

function firstWithinBound(
  fleet: SimulatedFleet,
  order: readonly number[],
  loadOf: (target: number) => number,
): number | undefined {
  let total = 1
  for (const target of order) total += loadOf(target)
  const limit = (fleet.maxLoadFactor * total) / order.length
  for (const target of order) if (loadOf(target) <= limit) return target
  return order[0]
}

/** Strategy A: bounded rendezvous hashing over delayed reports and own requests. */
export const createBoundedHashStrategy: CreateRoutingStrategy = (fleet) =>
  createSynchronousStrategy(fleet, ({ chat, router }, loads) => {
    const order = targetsInChatOrder(chat, listedTargets(fleet, router))
    return firstWithinBound(fleet, order, (target) =>
      loads.load(router, target),
    )
  })

/** Strategy B: the less loaded of two random targets among the chat's first k. */
export const createTwoOfTopStrategy: CreateRoutingStrategy = (fleet) => {
  const random = createRandom(STRATEGY_SEED)
  return createSynchronousStrategy(fleet, ({ chat, router }, loads) => {
    const order = targetsInChatOrder(chat, listedTargets(fleet, router)).slice(
      0,
      TOP_K,
    )
    const first = order[random.below(order.length)] ?? 0
    const second = order[random.below(order.length)] ?? 0
    return loads.load(router, second) < loads.load(router, first)
      ? second
      : first
  })
}

/** Reference with perfect information: true loads and caches, the same bound. */
export const createOracleStrategy: CreateRoutingStrategy = (fleet) =>
  createSynchronousStrategy(fleet, ({ chat, router }) => {
    const order = targetsInChatOrder(chat, listedTargets(fleet, router))
    const cached = fleet.trueCacheTarget(chat)
    if (cached !== undefined && order.includes(cached)) order.unshift(cached)
    const candidates = [...new Set(order)]
    return firstWithinBound(fleet, candidates, (target) =>
      fleet.trueLoad(target),
    )
  })
