/** Milliseconds within which every router learns that a target is draining. */
export const DRAIN_PROPAGATION_MS = 3_000

/** In-flight count of a target, reported by one source. */
export interface InFlightSample {
  readonly inFlight: number
  /** Time of the sample, in milliseconds of the local monotonic clock. */
  readonly atMs: number
}

/** Progress of draining a target. */
export interface DrainStatus {
  /** When draining was announced; undefined if it was not. */
  readonly sinceMs?: number
  /** Samples from this router and each live peer. */
  readonly routers: readonly InFlightSample[]
  /** Sample from the target itself. */
  readonly target?: InFlightSample
}

/**
 * Returns whether the target and all routers report no requests in flight,
 * each after the announcement of the drain has reached every router.
 */
export function isDrained(status: DrainStatus): boolean {
  const { sinceMs, routers, target } = status
  if (sinceMs === undefined || !target) return false
  const isEmpty = ({ inFlight, atMs }: InFlightSample): boolean =>
    inFlight === 0 && atMs >= sinceMs + DRAIN_PROPAGATION_MS
  return routers.length > 0 && isEmpty(target) && routers.every(isEmpty)
}
