import type { SimulatedFleet } from '../routingStrategy.js'
import type { MembershipView } from './createMembershipView.js'
import type { SimulatedRouter } from './createSimulatedRouter.js'

/** Options for {@link startDigests}. */
export interface StartDigestsOptions {
  readonly fleet: SimulatedFleet
  readonly routers: readonly SimulatedRouter[]
  /** Targets of the group, by index. */
  readonly members: readonly number[]
  readonly view: MembershipView
}

const DIGEST_INTERVAL_MS = 2_000
const DIGEST_MAX_AGE_MS = 5_000

/**
 * Updates each router's fallback quota with the in-flight counts of all live
 * routers, once per digest interval.
 */
export function startDigests(options: StartDigestsOptions): void {
  const { fleet, routers, members, view } = options

  function refresh(router: SimulatedRouter): void {
    const live = fleet.liveRouters(router.index)
    const knownLoads = members.map((_, member) => {
      let total = 0
      for (const index of live)
        total += routers[index]?.creditPool.inFlight[member] ?? 0
      return total
    })
    router.fallbackQuota.refresh({
      routers: view.liveRouterIds(router),
      knownLoads,
      ageMs: DIGEST_INTERVAL_MS / 2,
      maxAgeMs: DIGEST_MAX_AGE_MS,
      maxLoadFactor: fleet.maxLoadFactor,
      eligible: (index) => view.isEligible(router, index),
    })
  }

  function exchangeDigests(): void {
    for (const router of routers) refresh(router)
    fleet.schedule(DIGEST_INTERVAL_MS, exchangeDigests)
  }

  exchangeDigests()
}
