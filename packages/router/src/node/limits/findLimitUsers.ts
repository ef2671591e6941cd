import { hash32 } from '@auburnbay/core/hash/hash32'

/** Returns the `max` routers that rank highest for a target, the same ones at every router. */
export function findLimitUsers(
  targetId: string,
  routers: readonly string[],
  max: number,
): readonly string[] {
  if (routers.length <= max) return routers
  return routers
    .map((router) => ({ router, rank: hash32(`${targetId} ${router}`) }))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, max)
    .map(({ router }) => router)
}
