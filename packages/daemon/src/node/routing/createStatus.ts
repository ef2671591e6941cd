import type { FleetLoad } from './createFleetLoad.js'
import type { ServiceTable, ServiceTables } from './createServiceTables.js'
import type { Routing, TargetStatus } from './routing.js'

/** What the list of targets is made from. */
export interface StatusOptions {
  readonly tables: ServiceTables
  readonly load: FleetLoad
  readonly eligible: (targetId: string) => boolean
  readonly maxLoadFactor: (service: string) => number
}

/** Creates the list of targets with their loads by the latest digests. */
export function createStatus(options: StatusOptions): Routing['status'] {
  const { tables, load, eligible, maxLoadFactor } = options

  function statusOf(table: ServiceTable): TargetStatus[] {
    const mean = load.meanLoad(table, eligible)
    const factor = maxLoadFactor(table.service)
    const members = table.groups.flatMap((group) => group.members)
    return members.map(({ id, weight }) => ({
      id,
      service: table.service,
      address: table.targets.get(id)?.address ?? '',
      load: load.loadOf(id),
      bound: factor * mean * weight + 1,
    }))
  }

  return () => tables.all().flatMap(statusOf)
}
