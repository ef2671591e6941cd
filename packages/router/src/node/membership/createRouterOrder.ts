import { hash32 } from '@auburnbay/core/hash/hash32'
import { LRUCache } from 'lru-cache'

/** Orders routers alike everywhere: the first ones are the aggregators. */
export type RouterOrder = (a: string, b: string) => number

/** Routers whose hashes are remembered. */
const MAX_ROUTERS = 10_000

/** Creates the order of routers by the hash of their names. */
export function createRouterOrder(): RouterOrder {
  const hashes = new LRUCache<string, number>({ max: MAX_ROUTERS })

  function hashOf(router: string): number {
    const known = hashes.get(router)
    if (known !== undefined) return known
    const hash = hash32(router)
    hashes.set(router, hash)
    return hash
  }

  return (a, b) => hashOf(a) - hashOf(b) || (a < b ? -1 : 1)
}
