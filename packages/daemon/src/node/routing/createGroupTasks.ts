import type {
  GrantRequest,
  CollectRequest,
  CollectResponse,
  GrantResponse,
  TargetGroup,
} from '@auburnbay/core'
import { GrantStatus } from '@auburnbay/core'
import type { GroupTask } from './createGroupTask.js'

/** The tasks of all groups on this router. */
export interface GroupTasks {
  of(group: TargetGroup): GroupTask
  all(): readonly GroupTask[]
  /** Ends the tasks of groups that are no longer there. */
  keep(groups: readonly TargetGroup[]): void
  onGrant(ask: GrantRequest): GrantResponse
  onCollect(ask: CollectRequest): CollectResponse
}

/** Creates tasks on demand; a group with other members gets a new task. */
export function createGroupTasks(
  router: string,
  incarnation: string,
  createTask: (group: TargetGroup) => GroupTask,
): GroupTasks {
  const tasks = new Map<string, GroupTask>()

  function of(group: TargetGroup): GroupTask {
    const known = tasks.get(group.id)
    if (known?.group.membersHash === group.membersHash) return known
    const created = createTask(group)
    tasks.set(group.id, created)
    return created
  }

  return {
    of,
    all: () => [...tasks.values()],
    keep(groups) {
      const ids = new Set(groups.map(({ id }) => id))
      for (const id of tasks.keys()) if (!ids.has(id)) tasks.delete(id)
    },
    onGrant(ask) {
      const task = tasks.get(ask.group)
      if (task) return task.ask(ask)
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
      if (task) return task.collect(ask)
      return { accepted: false, epoch: 0, router, incarnation, used: [] }
    },
  }
}
