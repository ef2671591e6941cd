/** Size and customer mix of a model service. */
export interface Deployment {
  readonly name: string
  readonly targets: number
  readonly routers: number
  /** Shares of the traffic by customer; they add up to 1. */
  readonly customerShares: readonly number[]
}

/**
 * Streams that a target serves at once: 39 million tokens a second over
 * 10,000 targets at 59 ms between tokens.
 */
export const SLOTS_PER_TARGET = 230
/**
 * Mean duration of a response in milliseconds: 390 tokens for each of 100,000
 * requests a second, at 59 ms between tokens.
 */
export const MEAN_RUN_MS = 23_000

const CUSTOMER_SHARES = [
  0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05,
]

/** Both deployments at their current sizes. */
export const deployments: readonly Deployment[] = [
  { name: 'corrib', targets: 13, routers: 9, customerShares: CUSTOMER_SHARES },
  {
    name: 'asociacion',
    targets: 6,
    routers: 9,
    customerShares: CUSTOMER_SHARES,
  },
]

/** Returns the number of requests that one router may have in flight. */
export function slotsPerRouter(deployment: Deployment): number {
  const { targets, routers } = deployment
  return Math.floor((targets * SLOTS_PER_TARGET) / routers)
}
