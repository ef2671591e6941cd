/** Milliseconds within which every router has heard that a target drains. */
export const DRAIN_PROPAGATION_MS = 3_000

/** A count of requests in flight on a target, from one source. */
export interface InFlightSample {
  readonly inFlight: number
  /** When it was true, in milliseconds of the own monotonic clock. */
  readonly atMs: number
}

/** What is known of the requests on a target that is to be drained. */
export interface DrainStatus {
  /** When draining was announced; undefined before. */
  readonly sinceMs?: number
  /** From this router and each live peer. */
  readonly routers: readonly InFlightSample[]
  /** From the target itself. */
  readonly target?: InFlightSample
}

/** Returns whether both the routers and the target show it empty since then. */
export function isDrained(evidence: DrainStatus): boolean {
  const { sinceMs, routers, target } = evidence
  if (sinceMs === undefined || !target) return false
  const isEmpty = ({ inFlight, atMs }: InFlightSample): boolean =>
    inFlight === 0 && atMs >= sinceMs + DRAIN_PROPAGATION_MS
  return routers.length > 0 && isEmpty(target) && routers.every(isEmpty)
}
