/** Milliseconds within which every router has heard that a target drains. */
export const DRAIN_SPREAD_MS = 3_000

/** A count of requests in flight on a target, from one source. */
export interface InFlightSighting {
  readonly inFlight: number
  /** When it was true, in milliseconds of the own monotonic clock. */
  readonly atMs: number
}

/** What is known of the requests on a target that is to be drained. */
export interface DrainEvidence {
  /** When draining was announced; undefined before. */
  readonly sinceMs?: number
  /** From this router and each live peer. */
  readonly routers: readonly InFlightSighting[]
  /** From the target itself. */
  readonly target?: InFlightSighting
}

/** Returns whether both the routers and the target show it empty since then. */
export function isDrained(evidence: DrainEvidence): boolean {
  const { sinceMs, routers, target } = evidence
  if (sinceMs === undefined || !target) return false
  const isEmpty = ({ inFlight, atMs }: InFlightSighting): boolean =>
    inFlight === 0 && atMs >= sinceMs + DRAIN_SPREAD_MS
  return routers.length > 0 && isEmpty(target) && routers.every(isEmpty)
}
