import { hash32 } from '../hash/hash32.js'

/** Returns the routers that get one more than the others. */
function findExtra(
  remainder: number,
  key: string,
  routers: readonly string[],
): Set<string> {
  if (remainder === 0) return new Set()
  const ordered = routers
    .map((id) => ({ id, score: hash32(`${key}\n${id}`) }))
    .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
  return new Set(ordered.slice(0, remainder).map(({ id }) => id))
}

/**
 * Divides a limit into whole shares that add up to it. A remainder goes to
 * routers that the limit's key selects. A router not in the list gets none.
 */
export function createFleetShares(
  limit: number,
  key: string,
  routers: readonly string[],
): (router: string) => number {
  const share = Math.floor(limit / routers.length)
  const known = new Set(routers)
  const extra = findExtra(limit - share * routers.length, key, routers)
  return (router) => {
    if (!known.has(router)) return 0
    return extra.has(router) ? share + 1 : share
  }
}
