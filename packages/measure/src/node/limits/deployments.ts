/** A model service as one router sees it. */
export interface Deployment {
  readonly name: string
  readonly targets: number
  readonly routers: number
  /** Customers' shares of the traffic; they add up to 1. */
  readonly customers: readonly number[]
}

/**
 * Streams that a replica serves at once: 39 million tokens a second over
 * 10,000 replicas at 59 ms between tokens.
 */
export const PLACES_PER_TARGET = 230
/**
 * Mean time of an answer in milliseconds: 390 tokens for each of 100,000
 * requests a second, at 59 ms between tokens.
 */
export const MEAN_RUN_MS = 23_000

const FEW_LARGE = [0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05]

/** Both deployments at today's sizes. */
export const deployments: readonly Deployment[] = [
  { name: 'corrib', targets: 13, routers: 9, customers: FEW_LARGE },
  { name: 'asociacion', targets: 6, routers: 9, customers: FEW_LARGE },
]

/** Requests of the service that one router may have in flight. */
export function placesOf(deployment: Deployment): number {
  const { targets, routers } = deployment
  return Math.floor((targets * PLACES_PER_TARGET) / routers)
}
