import {
  type Configuration,
  createGroupRing,
  type GroupRing,
  groupTargets,
  type TargetGroup,
} from '@auburnbay/core'

/** Position of a target in its group. */
export interface GroupedTarget {
  readonly id: string
  readonly address: string
  readonly group: TargetGroup
  readonly index: number
}

/** Targets of a service, indexed for target selection. */
export interface ServiceTable {
  readonly service: string
  readonly groups: readonly TargetGroup[]
  readonly ring: GroupRing
  readonly targets: ReadonlyMap<string, GroupedTarget>
}

/** Routing tables of all services. */
export interface ServiceTables {
  get(service: string): ServiceTable | undefined
  all(): readonly ServiceTable[]
  getTarget(id: string): GroupedTarget | undefined
}

function createTable(
  service: string,
  configuration: Configuration,
): ServiceTable {
  const serviceTargets = Object.entries(configuration.targets)
    .filter(([, target]) => target.service === service)
    .map(([id, { weight }]) => ({ id, weight }))
  const groups = groupTargets(service, serviceTargets)
  const targets = new Map<string, GroupedTarget>()
  for (const group of groups) {
    for (const [index, { id }] of group.members.entries()) {
      const address = configuration.targets[id]?.address ?? ''
      targets.set(id, { id, address, group, index })
    }
  }
  return { service, groups, ring: createGroupRing(groups), targets }
}

/** Creates tables that are rebuilt when the configuration changes. */
export function createServiceTables(
  configuration: () => Configuration,
): ServiceTables {
  let builtFrom: Configuration | undefined
  let tables = new Map<string, ServiceTable>()

  function current(): Map<string, ServiceTable> {
    const cfg = configuration()
    if (cfg === builtFrom) return tables
    builtFrom = cfg
    tables = new Map(
      Object.keys(cfg.services).map((service) => [
        service,
        createTable(service, cfg),
      ]),
    )
    return tables
  }

  return {
    get: (service) => current().get(service),
    all: () => [...current().values()],
    getTarget(id) {
      const service = configuration().targets[id]?.service
      return service === undefined
        ? undefined
        : current().get(service)?.targets.get(id)
    },
  }
}
