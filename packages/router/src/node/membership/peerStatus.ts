/** What one router says of another, as bits of a number. */
export enum PeerStatus {
  /** No longer heard by the router that it sent its digests to. */
  Lost = 1,
  Stopping = 2,
  /** A target responded to it within the last seconds. */
  ReachesTargets = 4,
  /** Its configuration is not older than that of the reporting router. */
  CurrentConfiguration = 8,
  /** It has run for longer than a router needs to start. */
  Established = 16,
  /** Its release sends digests to every peer and knows no aggregators. */
  EarlierRelease = 32,
}

/** Whether a status has a bit. */
export function hasStatus(status: number, bit: PeerStatus): boolean {
  return (status & bit) !== 0
}
