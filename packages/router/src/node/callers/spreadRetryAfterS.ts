import { hash32 } from '@auburnbay/core/hash/hash32'

const MS_PER_S = 1_000
/** Part of a wait by which callers are spread over the time after it, so that they do not return together. */
const WAIT_SPREAD = 0.25
const HASH_RANGE = 2 ** 32

/** Returns the seconds after which the caller of an attempt should return, a little later than after a wait. */
export function spreadRetryAfterS(attemptId: string, waitMs: number): number {
  const spread = hash32(attemptId) / HASH_RANGE
  return (waitMs * (1 + WAIT_SPREAD * spread)) / MS_PER_S
}
