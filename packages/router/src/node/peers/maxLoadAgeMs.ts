import {
  DIGEST_FANOUT,
  DIGEST_INTERVAL_MS,
  MAX_LOST_DIGESTS,
} from '../constants.js'

/** Returns the milliseconds after which the load in a peer's digest is stale. */
export function maxLoadAgeMs(routers: number): number {
  const rounds = Math.ceil(routers / DIGEST_FANOUT)
  return MAX_LOST_DIGESTS * DIGEST_INTERVAL_MS * rounds
}
