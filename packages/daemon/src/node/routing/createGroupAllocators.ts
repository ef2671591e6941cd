import type {
  GrantRequest,
  CollectRequest,
  CollectResponse,
  GrantResponse,
  TargetGroup,
} from '@auburnbay/core'
import { GrantStatus } from '@auburnbay/core'
import type { GroupAllocator } from './createGroupAllocator.js'

/** The tasks of all groups on this router. */
export interface GroupAllocators {
  getOrCreate(group: TargetGroup): GroupAllocator
  all(): readonly GroupAllocator[]
  /** Ends the tasks of groups that are no longer there. */
  retain(groups: readonly TargetGroup[]): void
  onGrant(ask: GrantRequest): GrantResponse
  onCollect(ask: CollectRequest): CollectResponse
}

/** Creates tasks on demand; a group with other members gets a new task. */
export function createGroupAllocators(
  router: string,
  incarnation: string,
  createTask: (group: TargetGroup) => GroupAllocator,
): GroupAllocators {
  const tasks = new Map<string, GroupAllocator>()

  function of(group: TargetGroup): GroupAllocator {
    const known = tasks.get(group.id)
    if (known?.group.membersHash === group.membersHash) return known
    const created = createTask(group)
    tasks.set(group.id, created)
    return created
  }

  return {
    getOrCreate: of,
    all: () => [...tasks.values()],
    retain(groups) {
      const ids = new Set(groups.map(({ id }) => id))
      for (const id of tasks.keys()) if (!ids.has(id)) tasks.delete(id)
    },
    onGrant(ask) {
      const task = tasks.get(ask.group)
      if (task) return task.onGrant(ask)
      const granted = ask.wants.map(() => -1)
      return {
        status: GrantStatus.NotCoordinator,
        epoch: 0,
        granted,
        loans: [],
      }
    },
    onCollect(ask) {
      const task = tasks.get(ask.group)
      if (task) return task.onCollect(ask)
      return { accepted: false, epoch: 0, router, incarnation, used: [] }
    },
  }
}
