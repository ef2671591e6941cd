import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import type { RouterOrder } from './createRouterOrder.js'

/** How a router exchanges digests with its fleet. */
export enum FleetRole {
  /** A small fleet: with every peer. */
  Mesh = 'mesh',
  /** With the other aggregators, and with the members that chose it. */
  Aggregator = 'aggregator',
  /** With one aggregator. */
  Member = 'member',
}

/** A router's place in its fleet. */
export interface Topology {
  readonly role: FleetRole
  /** Aggregators of the fleet, this router included if it is one; empty in a small fleet. */
  readonly aggregators: ReadonlySet<string>
  /** Aggregator of a member. */
  readonly parent?: string
}

/** Peers in this router's view of the fleet. */
export interface TopologyPeers {
  /** Running peers, without those that are stopping. */
  readonly present: readonly string[]
  /** Those of them that can be aggregators. */
  readonly candidates: readonly string[]
  /** Peers that sent this router a digest just now. */
  readonly responsive: ReadonlySet<string>
}

/** Decides a router's place in its fleet. */
export interface TopologyDecider {
  readonly current: Topology
  /** Decides again after the view has changed. */
  update(peers: TopologyPeers, isStopping: boolean, nowMs: number): Topology
  /** Chooses another parent for a while, as this one sends nothing. */
  avoid(router: string, nowMs: number): void
}

/** Routers up to which each sends its digests to all others. */
export const MAX_MESH_ROUTERS = 17
/** Routers below which a fleet is small again: the roles do not change with each router that joins or leaves. */
const MIN_AGGREGATED_ROUTERS = 15
/** Milliseconds for which a silent parent is not chosen again. */
const AVOIDANCE_MS = 10_000

/** Returns the number of aggregators: each has as many members as there are aggregators. */
function aggregatorCount(routers: number): number {
  return Math.ceil(Math.sqrt(routers))
}

/** Creates a decider for a router that knows no peers. */
export function createTopology(
  router: string,
  compareRouters: RouterOrder,
): TopologyDecider {
  const avoidedUntilMs = new Map<string, number>()
  let current: Topology = { role: FleetRole.Mesh, aggregators: new Set() }

  function isSmall(routers: number): boolean {
    return current.role === FleetRole.Mesh
      ? routers <= MAX_MESH_ROUTERS
      : routers < MIN_AGGREGATED_ROUTERS
  }

  function chooseParent(
    aggregators: readonly string[],
    responsive: ReadonlySet<string>,
    nowMs: number,
  ): string | undefined {
    const order = rendezvousOrder(
      router,
      aggregators.map((id) => ({ id, weight: 1 })),
    ).map(({ id }) => id)
    const isAvoided = (id: string): boolean =>
      (avoidedUntilMs.get(id) ?? -Infinity) > nowMs
    const [first] = order
    if (first === undefined || !isAvoided(first)) return first
    const trusted = order.filter((id) => !isAvoided(id))
    return trusted.find((id) => responsive.has(id)) ?? trusted[0] ?? first
  }

  function decide(
    { present, candidates, responsive }: TopologyPeers,
    isStopping: boolean,
    nowMs: number,
  ): Topology {
    const routers = present.length + 1
    if (isSmall(routers))
      return { role: FleetRole.Mesh, aggregators: new Set() }
    const aggregators = [...candidates, ...(isStopping ? [] : [router])]
      .sort(compareRouters)
      .slice(0, aggregatorCount(routers))
    if (aggregators.includes(router))
      return { role: FleetRole.Aggregator, aggregators: new Set(aggregators) }
    const parent = chooseParent(aggregators, responsive, nowMs)
    return {
      role: FleetRole.Member,
      aggregators: new Set(aggregators),
      ...(parent !== undefined && { parent }),
    }
  }

  return {
    get current() {
      return current
    },
    update(peers, isStopping, nowMs) {
      current = decide(peers, isStopping, nowMs)
      return current
    },
    avoid(silent, nowMs) {
      for (const [id, untilMs] of avoidedUntilMs)
        if (untilMs <= nowMs) avoidedUntilMs.delete(id)
      avoidedUntilMs.set(silent, nowMs + AVOIDANCE_MS)
    },
  }
}
