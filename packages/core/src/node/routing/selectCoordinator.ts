import { rendezvousOrder } from './rendezvousOrder.js'

/** Returns the router that grants places on a group, among the live ones. */
export function selectCoordinator(
  groupId: string,
  routers: readonly string[],
): string | undefined {
  const weighted = routers.map((id) => ({ id, weight: 1 }))
  return rendezvousOrder(groupId, weighted)[0]?.id
}
