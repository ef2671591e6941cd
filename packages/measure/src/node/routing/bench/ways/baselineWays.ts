import { hash32, rendezvousOrder } from '@auburnbay/core'
import type { Arrival } from '../createTrace.js'
import { createRandom } from '../createRandom.js'
import type { BenchFleet, CreateWay, RoutingWay } from '../routingWay.js'

const WAY_SEED = 77
const TOP_K = 4
const REPORT_LAG_MS = 2_000

/** Loads as one router knows them: late reports and its own since then. */
interface RouterLoads {
  load(router: number, target: number): number
  start(router: number, target: number): void
}

function createRouterLoads(fleet: BenchFleet): RouterLoads {
  const unreported = Array.from({ length: fleet.routers }, () =>
    new Array<number>(fleet.targets).fill(0),
  )

  function add(router: number, target: number, change: number): void {
    const counts = unreported[router] ?? []
    counts[target] = (counts[target] ?? 0) + change
  }

  return {
    load: (router, target) =>
      fleet.reported(target) + (unreported[router]?.[target] ?? 0),
    start: (router, target) => {
      add(router, target, 1)
      fleet.after(REPORT_LAG_MS, () => {
        add(router, target, -1)
      })
    },
  }
}

type Choose = (arrival: Arrival, loads: RouterLoads) => number | undefined

function createSimpleWay(fleet: BenchFleet, choose: Choose): RoutingWay {
  const loads = createRouterLoads(fleet)
  return {
    place(arrival) {
      const target = choose(arrival, loads)
      if (target === undefined) return
      loads.start(arrival.router, target)
      fleet.run(arrival, target)
    },
    ended: () => undefined,
  }
}

function listedTargets(fleet: BenchFleet, router: number): number[] {
  const listed: number[] = []
  for (let target = 0; target < fleet.targets; target += 1)
    if (fleet.listed(router, target)) listed.push(target)
  return listed
}

/** Targets in the chat's rendezvous order. */
export function chatOrder(chat: string, targets: readonly number[]): number[] {
  const weighted = targets.map((target) => ({
    id: `t${target}`,
    weight: 1,
    target,
  }))
  return rendezvousOrder(chat, weighted).map(({ target }) => target)
}

/** Modulo hashing of the chat. */
export const createModuloWay: CreateWay = (fleet) =>
  createSimpleWay(fleet, ({ chat, router }) => {
    const listed = listedTargets(fleet, router)
    return listed[hash32(chat) % listed.length]
  })

/** A target at random. */
export const createRandomWay: CreateWay = (fleet) => {
  const random = createRandom(WAY_SEED)
  return createSimpleWay(fleet, ({ router }) => {
    const listed = listedTargets(fleet, router)
    return listed[random.below(listed.length)]
  })
}

/** The least loaded target by late reports and own requests. */
export const createLeastLoadedWay: CreateWay = (fleet) =>
  createSimpleWay(fleet, ({ router }, loads) => {
    const listed = listedTargets(fleet, router)
    listed.sort(
      (a, b) => loads.load(router, a) - loads.load(router, b) || a - b,
    )
    return listed[0]
  })

function withinBound(
  fleet: BenchFleet,
  order: readonly number[],
  loadOf: (target: number) => number,
): number | undefined {
  let total = 1
  for (const target of order) total += loadOf(target)
  const limit = (fleet.maxLoadFactor * total) / order.length
  for (const target of order) if (loadOf(target) <= limit) return target
  return order[0]
}

/** Way A: bounded rendezvous hashing over late reports and own requests. */
export const createBoundedHashWay: CreateWay = (fleet) =>
  createSimpleWay(fleet, ({ chat, router }, loads) => {
    const order = chatOrder(chat, listedTargets(fleet, router))
    return withinBound(fleet, order, (target) => loads.load(router, target))
  })

/** Way B: the less loaded of two at random out of the chat's first k. */
export const createTwoOfTopWay: CreateWay = (fleet) => {
  const random = createRandom(WAY_SEED)
  return createSimpleWay(fleet, ({ chat, router }, loads) => {
    const order = chatOrder(chat, listedTargets(fleet, router)).slice(0, TOP_K)
    const first = order[random.below(order.length)] ?? 0
    const second = order[random.below(order.length)] ?? 0
    return loads.load(router, second) < loads.load(router, first)
      ? second
      : first
  })
}

/** The reference: true loads and caches, the same bound. */
export const createAllKnowingWay: CreateWay = (fleet) =>
  createSimpleWay(fleet, ({ chat, router }) => {
    const order = chatOrder(chat, listedTargets(fleet, router))
    const cached = fleet.trulyCached(chat)
    if (cached !== undefined && order.includes(cached)) order.unshift(cached)
    const counted = [...new Set(order)]
    return withinBound(fleet, counted, (target) => fleet.trueLoad(target))
  })
