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

/** What a fleet view works with. */
export interface FleetViewOptions {
  readonly router: string
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  readonly maxVanished: number
  readonly now: () => number
}

/** Which routers and targets this router believes to be there. */
export interface FleetView {
  /** Routers that are alive and not stopping, this one included. */
  routers(): readonly string[]
  /** Router that grants places on a group. */
  homeOf(groupId: string): string | undefined
  /** Whether VM list and configuration let a target take new work. */
  listed(targetId: string): boolean
  /** Takes in the VM list as it is now. */
  update(tables: readonly ServiceTable[]): void
}

/** Creates the view; a suspect VM list and flapping targets are damped. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const guards = new Map<string, TargetListGuard>()
  const damper = createFlapDamper()
  const homes = new Map<string, string | undefined>()
  let accepted = new Set<string>()
  let leaving = new Set<string>()
  let known = new Set<string>()
  let routers: string[] = [options.router]
  const everListed = new Set<string>()
  let seenVms: readonly VmEntry[] | undefined

  function guardOf(service: string): TargetListGuard {
    const guard = guards.get(service)
    if (guard) return guard
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
    homes.clear()
  }

  function readVms(): void {
    const vms = options.vms()
    if (vms === seenVms) return
    seenVms = vms
    known = new Set(vms.map(({ id }) => id))
    leaving = new Set()
    for (const { id, state } of vms)
      if (state === MemberState.Leaving) leaving.add(id)
  }

  return {
    routers: () => routers,
    homeOf(groupId) {
      if (!homes.has(groupId))
        homes.set(groupId, selectCoordinator(groupId, routers))
      return homes.get(groupId)
    },
    listed(targetId) {
      if (options.configuration().targets[targetId]?.draining) return false
      return accepted.has(targetId) && !leaving.has(targetId)
    },
    update(tables) {
      updateRouters()
      readVms()
      const nowMs = options.now()
      const next = new Set<string>()
      for (const { service, targets } of tables) {
        // Targets need not be on the list; those that were on it must stay.
        const present = [...targets.keys()].filter(
          (id) => known.has(id) || !everListed.has(id),
        )
        for (const id of guardOf(service).accept(present, nowMs)) next.add(id)
        for (const id of targets.keys()) {
          if (known.has(id)) everListed.add(id)
          const there = next.has(id) && !leaving.has(id)
          if (!damper.update(id, there, nowMs)) next.delete(id)
        }
      }
      accepted = next
    },
  }
}
