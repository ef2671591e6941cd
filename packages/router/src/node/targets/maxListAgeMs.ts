import { hash32 } from '@auburnbay/core/hash/hash32'

/** Part of the drain time that a list may be old; the rest is for reading the log, and for requests on their way. */
const FIRST_PART = 0.6
/** Part of the drain time over which the routers of a fleet spread their reads. */
const SPREAD_PART = 0.1
const HASHES = 2 ** 32

/** Returns the age of its target list at which a router reads the log itself, whatever peers do, in milliseconds. */
export function maxListAgeMs(router: string, drainMs: number): number {
  return drainMs * (FIRST_PART + (SPREAD_PART * hash32(router)) / HASHES)
}
