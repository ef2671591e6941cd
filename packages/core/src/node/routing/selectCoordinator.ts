import { rendezvousOrder } from './rendezvousOrder.js'

/** Returns the live router that coordinates a group, by rendezvous hashing. */
export function selectCoordinator(
  groupId: string,
  routers: readonly string[],
): string | undefined {
  const weighted = routers.map((id) => ({ id, weight: 1 }))
  return rendezvousOrder(groupId, weighted)[0]?.id
}
