import type { FleetLoad } from './createFleetLoad.js'
import type { ServiceTable, ServiceTables } from './createServiceTables.js'
import type { Routing, TargetStatus } from './routing.js'

/** Options for {@link createStatus}. */
export interface StatusOptions {
  readonly tables: ServiceTables
  readonly load: FleetLoad
  readonly eligible: (targetId: string) => boolean
  readonly maxLoadFactor: (service: string) => number
}

/** Creates the function that lists targets with loads by latest digests. */
export function createStatus(options: StatusOptions): Routing['status'] {
  const { tables, load, eligible, maxLoadFactor } = options

  function statusOf(table: ServiceTable): TargetStatus[] {
    const mean = load.mean(table, eligible)
    const factor = maxLoadFactor(table.service)
    const members = table.groups.flatMap((group) => group.members)
    return members.map(({ id, weight }) => ({
      id,
      service: table.service,
      address: table.targets.get(id)?.address ?? '',
      load: load.get(id),
      bound: factor * mean * weight + 1,
    }))
  }

  return () => tables.all().flatMap(statusOf)
}
