import type { ColdStart, Service } from '../configuration/service.js'
import type { RouterSettings } from '../settings/settingsSchema.js'

/** Bounds on the requests to a cold target in one second. */
type ColdBounds = Pick<
  RouterSettings['bounds'],
  'coldOverage' | 'coldTolerance'
>

/** Requests by which arrivals may bunch on their way, so that two windows of sends fall into one. */
const MARGIN = 1

/**
 * Returns the requests that all routers together may send at once to a cold target,
 * beside those per second: what the bound on one second leaves above the rate.
 */
export function coldBurstOf(
  { bounds }: { bounds: ColdBounds },
  requestsPerS: number,
): number {
  const { coldOverage = 1, coldTolerance } = bounds
  const burst = (coldOverage - 1) * requestsPerS + coldTolerance - MARGIN
  return Math.max(MARGIN, burst)
}

/** Returns what cold targets of a service take; undefined if the operator or the settings do not bound it. */
export function coldStartOf(
  { bounds }: { bounds: ColdBounds },
  service: Service | undefined,
): ColdStart | undefined {
  return bounds.coldOverage === undefined ? undefined : service?.coldStart
}
