/** Routers, first by name, that take over at once from a reader that has stopped polling. */
const FIRST_ROUTERS = 16
/** Time that the others leave them for it, as a part of the age up to which a poll is fresh. */
const DELAY_PART = 0.4

/**
 * Returns the age of the last poll, in milliseconds, at which a router polls the log itself.
 * Without a delay all routers of a fleet would poll when their reader stops.
 * @param maxPollAgeMs Age up to which a poll is fresh.
 * @param earlierPeers Live peers that precede the router by name.
 */
export function readerTakeoverMs(
  maxPollAgeMs: number,
  earlierPeers: number,
): number {
  return earlierPeers < FIRST_ROUTERS
    ? maxPollAgeMs
    : maxPollAgeMs * (1 + DELAY_PART)
}
