import { LRUCache } from 'lru-cache'
import type { Target } from '../targets/target.js'
import { findLimitUsers } from './findLimitUsers.js'

/** Options for {@link createRoomShares}. */
export interface RoomSharesOptions {
  /** Id of this router. */
  readonly router: string
  /** Returns the routers of the fleet including this one; undefined while they are unknown. */
  readonly routers: () => readonly string[] | undefined
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** This router's shares of the slots of targets. */
export interface RoomShares {
  /** Returns the requests that this router may have in flight at a target. */
  share(target: Target): number
}

interface Share {
  readonly requests: number
  readonly computedAtMs: number
}

/** Milliseconds for which a share is kept: the list of routers changes seldom. */
const SHARE_LIFETIME_MS = 1_000
/** Targets whose shares are remembered. */
const MAX_TARGETS = 10_000

/**
 * Creates shares. The routers that rank highest for a target divide its slots, so
 * that all of them together send no request that would have to wait, although
 * routers share no counts.
 */
export function createRoomShares(options: RoomSharesOptions): RoomShares {
  const { router, now } = options
  const shares = new LRUCache<string, Share>({ max: MAX_TARGETS })

  function computeShare({ id, slots }: Target): number {
    const users = findLimitUsers(id, options.routers() ?? [], slots)
    const index = users.indexOf(router)
    if (index < 0) return 0
    const rest = slots % users.length
    return Math.floor(slots / users.length) + (index < rest ? 1 : 0)
  }

  return {
    share(target) {
      const known = shares.get(target.id)
      if (known && now() - known.computedAtMs < SHARE_LIFETIME_MS)
        return known.requests
      const requests = computeShare(target)
      shares.set(target.id, { requests, computedAtMs: now() })
      return requests
    },
  }
}
