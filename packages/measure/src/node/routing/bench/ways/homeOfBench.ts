import { selectCoordinator } from '@auburnbay/core'
import type { Deployment } from '../deployment.js'

/** Returns the router that is home of the bench's group at the start. */
export function homeOfBench({ routers }: Deployment): number {
  const ids = Array.from({ length: routers }, (_, index) => `router-${index}`)
  return ids.indexOf(selectCoordinator('model/0', ids) ?? '')
}
