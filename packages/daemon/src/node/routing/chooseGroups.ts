import type { TargetGroup } from '@auburnbay/core'
import type { FleetLoad } from './createFleetLoad.js'
import type { GroupedTarget, ServiceTable } from './createServiceTables.js'

/** What the choice of groups goes by. */
export interface ChooseGroupsOptions {
  readonly table: ServiceTable
  readonly load: FleetLoad
  readonly key: string
  /** Target that holds the chat already. */
  readonly hint: GroupedTarget | undefined
  readonly maxLoadFactor: number
  readonly eligible: (targetId: string) => boolean
}

/** Groups that a request tries before it waits. */
const MAX_GROUPS_PER_REQUEST = 3

/** Lists the groups that a request tries: that of its holder, then those with room. */
export function chooseGroups(choice: ChooseGroupsOptions): TargetGroup[] {
  const { table, load, key, hint, maxLoadFactor, eligible } = choice
  if (table.groups.length === 1) return [...table.groups]
  const mean = load.meanLoad(table, eligible)
  const chosen: TargetGroup[] = hint ? [hint.group] : []
  for (const group of table.ring.groupsOf(key)) {
    if (chosen.length >= MAX_GROUPS_PER_REQUEST) break
    if (chosen.includes(group)) continue
    if (load.hasCapacity(group, mean, maxLoadFactor)) chosen.push(group)
  }
  return chosen
}
