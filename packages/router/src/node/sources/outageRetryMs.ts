import { OUTAGE_POLLS_PER_S, REFUSED_RETRY_MS } from '../constants.js'

/** Milliseconds between two polls by the router that polls an unavailable log for the fleet. */
export const RETRY_MS = 250
/** Least milliseconds between two polls by each other router. */
const FOLLOWER_RETRY_MS = 1_000
const MS_PER_S = 1_000

/** What a router knows of the others while the log is unavailable to it. */
export interface OutagePeers {
  /** Whether a peer has polled the log lately, so that this router gets its state from there. */
  readonly hasReader: boolean
  /** Whether what that peer reads arrives here. */
  readonly isCovered: boolean
  /** Whether a live peer precedes this router in the order of those that poll for the fleet. */
  readonly hasEarlierPeer: boolean
  readonly routers: number
}

/**
 * Returns the milliseconds until the next poll of an unavailable log. The log may
 * refuse some routers and serve others, so all of them go on trying, as seldom as
 * the size of the fleet allows.
 */
export function outageRetryMs({
  hasReader,
  isCovered,
  hasEarlierPeer,
  routers,
}: OutagePeers): number {
  if (hasReader) return isCovered ? REFUSED_RETRY_MS : RETRY_MS
  if (!hasEarlierPeer) return RETRY_MS
  return Math.max(FOLLOWER_RETRY_MS, (routers * MS_PER_S) / OUTAGE_POLLS_PER_S)
}
