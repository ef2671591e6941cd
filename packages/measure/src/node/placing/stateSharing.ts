/** How the routers of a simulation share their state. */
export enum StateSharing {
  /** Each router knows only its own requests. */
  None = 'alone',
  /** Routers send digests, some of which are lost. */
  Digests = 'digests',
  /** All routers use one shared state. */
  Instant = 'all-knowing',
}
