import { hash32 } from '../hash/hash32.js'

/** Returns the routers whose share is one larger. */
function selectLargerShares(
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
 * Divides a limit into integer shares that add up to it. The remainder goes to
 * the routers selected by a hash of `key`. An unlisted router's share is 0.
 */
export function createFleetShares(
  limit: number,
  key: string,
  routers: readonly string[],
): (router: string) => number {
  const share = Math.floor(limit / routers.length)
  const known = new Set(routers)
  const larger = selectLargerShares(
    limit - share * routers.length,
    key,
    routers,
  )
  return (router) => {
    if (!known.has(router)) return 0
    return larger.has(router) ? share + 1 : share
  }
}
