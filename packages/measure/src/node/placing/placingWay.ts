import type { PendingUpdates } from '@auburnbay/router/peers/createPendingUpdates'
import type { FleetLoad } from '@auburnbay/router/routing/createFleetLoad'
import type { CacheLocations } from '@auburnbay/router/routing/createCacheLocations'

/** How routers in a trace learn of each other's work. */
export enum PlacingWay {
  /** Each knows its own work alone. */
  Alone = 'alone',
  /** Digests, some of which are lost. */
  Digests = 'digests',
  /** All share one memory. */
  AllKnowing = 'all-knowing',
}

/** What one router knows. */
export interface RouterMemory {
  readonly load: FleetLoad
  readonly placements: CacheLocations
  /** Placements that peers have not all heard of. */
  readonly news: PendingUpdates
}
