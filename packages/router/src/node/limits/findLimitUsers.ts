import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'

/** Returns the `max` routers that rank highest for a target, the highest first and the same ones at every router. */
export function findLimitUsers(
  targetId: string,
  routers: readonly string[],
  max: number,
): readonly string[] {
  const candidates = routers.map((id) => ({ id, weight: 1 }))
  return rendezvousOrder(targetId, candidates)
    .slice(0, max)
    .map(({ id }) => id)
}
