import type {
  GrantRequest,
  CollectRequest,
  CollectResponse,
  GrantResponse,
  TargetGroup,
} from '@auburnbay/core'
import { GrantStatus } from '@auburnbay/core'
import type { GroupAllocator } from './createGroupAllocator.js'

/** Slot allocators of all target groups on this router. */
export interface GroupAllocators {
  getOrCreate(group: TargetGroup): GroupAllocator
  all(): readonly GroupAllocator[]
  /** Removes the allocators of all other groups. */
  retain(groups: readonly TargetGroup[]): void
  handleGrantRequest(request: GrantRequest): GrantResponse
  handleCollectRequest(request: CollectRequest): CollectResponse
}

/** Creates allocators on demand, and anew when the members of a group change. */
export function createGroupAllocators(
  router: string,
  incarnation: string,
  createAllocator: (group: TargetGroup) => GroupAllocator,
): GroupAllocators {
  const allocators = new Map<string, GroupAllocator>()

  function getOrCreate(group: TargetGroup): GroupAllocator {
    const existing = allocators.get(group.id)
    if (existing?.group.membersHash === group.membersHash) return existing
    const created = createAllocator(group)
    allocators.set(group.id, created)
    return created
  }

  return {
    getOrCreate,
    all: () => [...allocators.values()],
    retain(groups) {
      const ids = new Set(groups.map(({ id }) => id))
      for (const id of allocators.keys())
        if (!ids.has(id)) allocators.delete(id)
    },
    handleGrantRequest(request) {
      const allocator = allocators.get(request.group)
      if (allocator) return allocator.handleGrantRequest(request)
      const granted = request.wants.map(() => -1)
      return {
        status: GrantStatus.NotCoordinator,
        epoch: 0,
        granted,
        loans: [],
      }
    },
    handleCollectRequest(request) {
      const allocator = allocators.get(request.group)
      if (allocator) return allocator.handleCollectRequest(request)
      return { accepted: false, epoch: 0, router, incarnation, used: [] }
    },
  }
}
