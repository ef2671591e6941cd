import { ROUTER_MEMORY_MS } from '../constants.js'

/** Counts the routers of the fleet, including those that cannot be reached now. */
export interface FleetSize {
  /** Records a router that has sent a digest. */
  recordSeen(router: string, nowMs: number): void
  /** Records the routers of the directory, which may have left long ago. */
  recordListed(routers: readonly string[], nowMs: number): void
  /** Returns the number of routers including this one; undefined before the directory was listed. */
  count(nowMs: number): number | undefined
  /** Returns the ids of the routers including this one; undefined before the directory was listed. */
  routers(nowMs: number): readonly string[] | undefined
}

/**
 * Creates a count that knows this router only.
 * @param self Id of this router.
 * @param memoryMs Milliseconds for which a router counts that sends nothing.
 * @default ROUTER_MEMORY_MS
 */
export function createFleetSize(
  self: string,
  memoryMs = ROUTER_MEMORY_MS,
): FleetSize {
  const seenAtMs = new Map<string, number>()
  let isListed = false

  function routers(nowMs: number): string[] | undefined {
    if (!isListed) return undefined
    const ids = [self]
    for (const [router, atMs] of seenAtMs)
      if (router !== self && nowMs - atMs <= memoryMs) ids.push(router)
    return ids
  }

  return {
    routers,
    recordSeen(router, nowMs) {
      seenAtMs.set(router, nowMs)
    },
    recordListed(routers, nowMs) {
      isListed = true
      const listed = new Set(routers)
      for (const [router, atMs] of seenAtMs)
        if (!listed.has(router) && nowMs - atMs > memoryMs)
          seenAtMs.delete(router)
      for (const router of listed)
        if (!seenAtMs.has(router)) seenAtMs.set(router, nowMs)
    },
    count: (nowMs) => routers(nowMs)?.length,
  }
}
