import {
  type LedgerContext,
  selectCoordinator,
  type SelectionContext,
  type TargetGroup,
} from '@auburnbay/core'
import type { SimulatedFleet } from '../routingStrategy.js'
import type { SimulatedRouter } from './createSimulatedRouter.js'

/** Options for {@link createMembershipView}. */
export interface MembershipViewOptions {
  readonly fleet: SimulatedFleet
  readonly group: TargetGroup
  readonly routers: readonly SimulatedRouter[]
  /** Targets of the group, by index. */
  readonly members: readonly number[]
  /** Whether routers apply flap damping to targets. */
  readonly dampFlaps: boolean
}

/** Live routers and eligible targets as each router sees them. */
export interface MembershipView {
  isAlive(router: SimulatedRouter): boolean
  liveRouterIds(router: SimulatedRouter): readonly string[]
  coordinatorOf(router: SimulatedRouter): SimulatedRouter | undefined
  /** Whether the router sends requests to the target at an index of the group. */
  isEligible(router: SimulatedRouter, index: number): boolean
  selectionContext(router: SimulatedRouter): SelectionContext
  ledgerContext(router: SimulatedRouter): LedgerContext
}

/** Creates the views of all routers of a run. */
export function createMembershipView(
  options: MembershipViewOptions,
): MembershipView {
  const { fleet, group, routers, members, dampFlaps } = options
  // Both caches avoid repeated work for the same set of live routers.
  const coordinatorsByLiveIds = new Map<string, SimulatedRouter | undefined>()
  const idsByLiveRouters = new Map<readonly number[], readonly string[]>()

  function liveRouterIds(router: SimulatedRouter): readonly string[] {
    const live = fleet.liveRouters(router.index)
    const cached = idsByLiveRouters.get(live)
    if (cached) return cached
    const liveIds = live.map((index) => `router-${index}`)
    idsByLiveRouters.set(live, liveIds)
    return liveIds
  }

  function coordinatorOf(router: SimulatedRouter): SimulatedRouter | undefined {
    const liveIds = liveRouterIds(router)
    const key = liveIds.join()
    if (!coordinatorsByLiveIds.has(key)) {
      const coordinatorId = selectCoordinator(group.id, liveIds)
      coordinatorsByLiveIds.set(
        key,
        routers.find(({ id }) => id === coordinatorId),
      )
    }
    return coordinatorsByLiveIds.get(key)
  }

  function isEligible(router: SimulatedRouter, index: number): boolean {
    const listed = fleet.isListed(router.index, members[index] ?? -1)
    if (!dampFlaps) return listed
    return router.flapDamper.update(String(index), listed, fleet.nowMs)
  }

  return {
    isAlive: (router) => fleet.liveRouters(router.index).includes(router.index),
    liveRouterIds,
    coordinatorOf,
    isEligible,
    selectionContext: (router) => ({
      nowMs: fleet.nowMs,
      hasCoordinator: true,
      isCoordinator: coordinatorOf(router) === router,
      eligible: (index) => isEligible(router, index),
    }),
    ledgerContext: (router) => ({
      nowMs: fleet.nowMs,
      maxLoadFactor: fleet.maxLoadFactor,
      eligible: (index) => isEligible(router, index),
      reported: (index) => fleet.reportedLoad(members[index] ?? -1),
    }),
  }
}
