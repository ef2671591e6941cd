import type { NewsBatches } from '@auburnbay/router/peers/createNewsBatches'
import type { FleetLoad } from '@auburnbay/router/routing/createFleetLoad'
import type { Placements } from '@auburnbay/router/routing/createPlacements'

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
  readonly placements: Placements
  /** Placements that peers have not all heard of. */
  readonly news: NewsBatches
}
