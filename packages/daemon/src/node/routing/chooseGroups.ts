import type { TargetGroup } from '@auburnbay/core'
import type { FleetLoad } from './createFleetLoad.js'
import type { GroupedTarget, ServiceTable } from './createServiceTables.js'

/** Options for {@link chooseGroups}. */
export interface ChooseGroupsOptions {
  readonly table: ServiceTable
  readonly load: FleetLoad
  /** Key of the chat, or of the request if it has no chat. */
  readonly key: string
  /** Target whose cache has the chat. */
  readonly hint: GroupedTarget | undefined
  readonly maxLoadFactor: number
  readonly eligible: (targetId: string) => boolean
}

/** Maximum number of groups that a request tries before it waits. */
const MAX_GROUPS_PER_REQUEST = 3

/** Lists the groups to try: that of the hinted target, then those with capacity. */
export function chooseGroups(options: ChooseGroupsOptions): TargetGroup[] {
  const { table, load, key, hint, maxLoadFactor, eligible } = options
  if (table.groups.length === 1) return [...table.groups]
  const mean = load.mean(table, eligible)
  const chosen: TargetGroup[] = hint ? [hint.group] : []
  for (const group of table.ring.groupsOf(key)) {
    if (chosen.length >= MAX_GROUPS_PER_REQUEST) break
    if (chosen.includes(group)) continue
    if (load.hasCapacity(group, mean, maxLoadFactor)) chosen.push(group)
  }
  return chosen
}
