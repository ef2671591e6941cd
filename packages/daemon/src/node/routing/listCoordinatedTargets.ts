import {
  type Configuration,
  ServiceKind,
  type TargetGroup,
} from '@auburnbay/core'
import type { FleetView } from './createFleetView.js'
import type { GroupedTarget, ServiceTables } from './createServiceTables.js'

/** Lists the engines of polled groups that `router` coordinates. */
export function listCoordinatedTargets(
  configuration: () => Configuration,
  tables: ServiceTables,
  view: FleetView,
  router: string,
  isPolled: (group: TargetGroup) => boolean,
): GroupedTarget[] {
  const { services } = configuration()
  const engines: GroupedTarget[] = []
  for (const { service, targets } of tables.all()) {
    if (services[service]?.kind !== ServiceKind.Model) continue
    for (const target of targets.values()) {
      if (view.coordinatorOf(target.group.id) !== router) continue
      if (isPolled(target.group)) engines.push(target)
    }
  }
  return engines
}
