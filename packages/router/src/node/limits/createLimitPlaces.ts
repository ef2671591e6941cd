import { rendezvousOrder } from '@auburnbay/core/routing/rendezvousOrder'
import { LRUCache } from 'lru-cache'

/** Options for {@link createLimitPlaces}. */
export interface LimitPlacesOptions {
  /** Id of this router. */
  readonly router: string
  /** Returns the routers of the fleet including this one; undefined while they are unknown. */
  readonly routers: () => readonly string[] | undefined
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** This router's place among the routers that divide a limit of a target. */
export interface LimitPlace {
  /** Routers that divide the limit; 0 while the fleet is unknown. */
  readonly users: number
  /** Rank of this router among them, from 0; absent if it is none of them. */
  readonly rank?: number
}

/** Returns this router's place among the `max` routers that rank highest for a target, which every router ranks alike. */
export type LimitPlaces = (targetId: string, max: number) => LimitPlace

interface KnownPlace extends LimitPlace {
  readonly max: number
  readonly computedAtMs: number
}

/** Milliseconds for which a place is kept: the list of routers changes seldom. */
const PLACE_LIFETIME_MS = 1_000
/** Targets whose places are remembered. */
const MAX_TARGETS = 10_000

/** Creates a lookup of places. */
export function createLimitPlaces(options: LimitPlacesOptions): LimitPlaces {
  const { router, now } = options
  const places = new LRUCache<string, KnownPlace>({ max: MAX_TARGETS })

  function computePlace(targetId: string, max: number): KnownPlace {
    const candidates = (options.routers() ?? []).map((id) => ({
      id,
      weight: 1,
    }))
    const users = rendezvousOrder(targetId, candidates).slice(0, max)
    const rank = users.findIndex(({ id }) => id === router)
    return {
      users: users.length,
      ...(rank >= 0 && { rank }),
      max,
      computedAtMs: now(),
    }
  }

  return (targetId, max) => {
    const known = places.get(targetId)
    const isValid =
      known?.max === max && now() - known.computedAtMs < PLACE_LIFETIME_MS
    if (isValid) return known
    const place = computePlace(targetId, max)
    places.set(targetId, place)
    return place
  }
}
