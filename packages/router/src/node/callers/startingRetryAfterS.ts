import { hash32 } from '@auburnbay/core/hash/hash32'

/** Time to load the configuration from an available source, in seconds. */
const LOAD_S = 0.2
/** Shortest wait once the source was found unavailable, in seconds. */
const MIN_OUTAGE_S = 1
const MAX_OUTAGE_S = 10
/** Part of the wait over which callers are spread, so that they do not return at once. */
const SPREAD = 0.5
const MS_PER_S = 1_000

/**
 * Returns the Retry-After of a router that knows no configuration, in seconds.
 * Answers a store that is away when the fleet restarts: an outage is expected to
 * last as long again as it has lasted.
 */
export function startingRetryAfterS(
  outageMs: number,
  attemptId: string,
): number {
  if (outageMs === 0) return LOAD_S
  const expectedS = outageMs / MS_PER_S
  const waitS = Math.min(MAX_OUTAGE_S, Math.max(MIN_OUTAGE_S, expectedS))
  const part = hash32(attemptId) / 2 ** 32
  return Math.round(waitS * (1 + SPREAD * part) * MS_PER_S) / MS_PER_S
}
