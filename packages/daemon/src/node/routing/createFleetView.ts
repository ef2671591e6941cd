import {
  type Configuration,
  createFlapDamper,
  createTargetListGuard,
  selectCoordinator,
  MemberState,
  type TargetListGuard,
  type VmEntry,
} from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { ServiceTable } from './createServiceTables.js'

/** Options for {@link createFleetView}. */
export interface FleetViewOptions {
  readonly router: string
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  /** Share of a service's targets that may vanish from the VM list at once. */
  readonly maxVanished: number
  readonly now: () => number
}

/** Membership view of live routers and of targets that accept requests. */
export interface FleetView {
  /** Live routers that are not stopping, this one included; sorted. */
  routers(): readonly string[]
  /** Coordinator of a group: the router that grants its slots. */
  coordinatorOf(groupId: string): string | undefined
  /** Whether VM list and configuration allow new requests on a target. */
  acceptsNewRequests(targetId: string): boolean
  /** Applies the current VM list and peer digests. */
  update(tables: readonly ServiceTable[]): void
}

/** Creates a view that rejects suspect VM lists and damps flapping targets. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const guards = new Map<string, TargetListGuard>()
  const flapDamper = createFlapDamper()
  const coordinators = new Map<string, string | undefined>()
  let acceptedIds = new Set<string>()
  let departingIds = new Set<string>()
  let listedIds = new Set<string>()
  let routers: string[] = [options.router]
  const everListedIds = new Set<string>()
  let lastVms: readonly VmEntry[] | undefined

  function guardOf(service: string): TargetListGuard {
    const existing = guards.get(service)
    if (existing) return existing
    const created = createTargetListGuard({ maxVanished: options.maxVanished })
    guards.set(service, created)
    return created
  }

  function updateRouters(): void {
    const live = options
      .membership()
      .livePeers()
      .filter(({ heartbeat }) => !heartbeat.stopping)
      .map(({ id }) => id)
    const next = [options.router, ...live].sort()
    if (next.join('\n') === routers.join('\n')) return
    routers = next
    coordinators.clear()
  }

  function updateVms(): void {
    const vms = options.vms()
    if (vms === lastVms) return
    lastVms = vms
    listedIds = new Set(vms.map(({ id }) => id))
    departingIds = new Set()
    for (const { id, state } of vms)
      if (state === MemberState.Leaving) departingIds.add(id)
  }

  return {
    routers: () => routers,
    coordinatorOf(groupId) {
      if (!coordinators.has(groupId))
        coordinators.set(groupId, selectCoordinator(groupId, routers))
      return coordinators.get(groupId)
    },
    acceptsNewRequests(targetId) {
      if (options.configuration().targets[targetId]?.draining) return false
      return acceptedIds.has(targetId) && !departingIds.has(targetId)
    },
    update(tables) {
      updateRouters()
      updateVms()
      const nowMs = options.now()
      const next = new Set<string>()
      for (const { service, targets } of tables) {
        // A target that was never on the VM list counts as present; one that was
        // listed counts as present only while it is.
        const present = [...targets.keys()].filter(
          (id) => listedIds.has(id) || !everListedIds.has(id),
        )
        for (const id of guardOf(service).accept(present, nowMs)) next.add(id)
        for (const id of targets.keys()) {
          if (listedIds.has(id)) everListedIds.add(id)
          const isPresent = next.has(id) && !departingIds.has(id)
          if (!flapDamper.update(id, isPresent, nowMs)) next.delete(id)
        }
      }
      acceptedIds = next
    },
  }
}
