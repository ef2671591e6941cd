import { selectCoordinator } from '@auburnbay/core'
import type { Deployment } from '../deployment.js'

/** Returns the index of the group's coordinator while all routers are alive. */
export function resolveCoordinatorIndex({ routers }: Deployment): number {
  const ids = Array.from({ length: routers }, (_, index) => `router-${index}`)
  return ids.indexOf(selectCoordinator('model/0', ids) ?? '')
}
