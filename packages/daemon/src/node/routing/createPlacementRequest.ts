import type { PlacementRequest, TargetGroup } from '@auburnbay/core'
import type { GroupedTarget } from './createServiceTables.js'

/** Creates what a request asks of a group. */
export function createPlacementRequest(
  group: TargetGroup,
  key: string,
  hint: GroupedTarget | undefined,
  barred: (targetId: string) => boolean,
): PlacementRequest {
  const exclude: number[] = []
  for (const [index, { id }] of group.members.entries())
    if (barred(id)) exclude.push(index)
  return { key, hint: hint?.group === group ? hint.index : undefined, exclude }
}
