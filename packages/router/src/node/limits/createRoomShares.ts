import type { Target } from '../targets/target.js'
import {
  createLimitPlaces,
  type LimitPlacesOptions,
} from './createLimitPlaces.js'

/** This router's shares of the slots of targets. */
export interface RoomShares {
  /** Returns the requests that this router may have in flight at a target. */
  share(target: Target): number
}

/**
 * Creates shares. The routers that rank highest for a target divide its slots, so
 * that all of them together send no request that would have to wait, although
 * routers share no counts.
 */
export function createRoomShares(options: LimitPlacesOptions): RoomShares {
  const placeAt = createLimitPlaces(options)
  return {
    share({ id, slots }) {
      const { users, rank } = placeAt(id, slots)
      if (rank === undefined) return 0
      const rest = slots % users
      return Math.floor(slots / users) + (rank < rest ? 1 : 0)
    },
  }
}
