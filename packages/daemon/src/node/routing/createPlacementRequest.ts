import type { PlacementRequest, TargetGroup } from '@auburnbay/core'
import type { GroupedTarget } from './createServiceTables.js'

/** Creates the request for a slot on a target of the group. */
export function createPlacementRequest(
  group: TargetGroup,
  key: string,
  hint: GroupedTarget | undefined,
  isExcluded: (targetId: string) => boolean,
): PlacementRequest {
  const exclude: number[] = []
  for (const [index, { id }] of group.members.entries())
    if (isExcluded(id)) exclude.push(index)
  return { key, hint: hint?.group === group ? hint.index : undefined, exclude }
}
