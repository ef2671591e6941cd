import { hash32 } from '../hash/hash32.js'

/**
 * Returns one router's whole share of a limit. The shares of all routers add
 * up to the limit; a remainder goes to routers that the limit's key selects.
 */
export function fleetShare(
  limit: number,
  key: string,
  router: string,
  routers: readonly string[],
): number {
  if (!routers.includes(router)) return 0
  const share = Math.floor(limit / routers.length)
  const remainder = limit - share * routers.length
  if (remainder === 0) return share
  const ordered = routers
    .map((id) => ({ id, score: hash32(`${key}\n${id}`) }))
    .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
  const place = ordered.findIndex(({ id }) => id === router)
  return place < remainder ? share + 1 : share
}
