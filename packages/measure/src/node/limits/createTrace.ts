import type { WaitingRequest } from '@auburnbay/core'
import { createRandom, type Random } from '../routing/bench/createRandom.js'
import { type Deployment, MEAN_RUN_MS, placesOf } from './deployments.js'

/** One request of a trace. */
export interface TraceRequest extends WaitingRequest {
  readonly runMs: number
}

/** What a trace is drawn from. */
export interface TraceOptions {
  readonly deployment: Deployment
  readonly seed: number
  readonly lengthMs: number
  /** Offered load as a multiple of what the places take, by customer. */
  readonly load: (customer: number, atMs: number) => number
  /** @default 1 for each customer */
  readonly weights?: readonly number[]
  /** Shares of the ranks. @default a tenth in the top rank */
  readonly rankShares?: readonly number[]
}

/** Ranks of the trace and their shares of its requests. */
export const RANKS: readonly number[] = [0, 3, 6, 9]
const RANK_SHARES = [0.1, 0.3, 0.4, 0.2]
/** Longest wait of a request without a deadline, as the daemon's default. */
export const MAX_WAIT_MS = 10_000
const LONG_DEADLINE_MS = 60_000
const LONG_DEADLINE_SHARE = 0.1
const STEP_MS = 100

/** Draws an index with the given probabilities, which add up to 1. */
function pick(random: Random, shares: readonly number[]): number {
  let left = random.unit()
  for (const [index, share] of shares.entries()) {
    left -= share
    if (left < 0) return index
  }
  return shares.length - 1
}

/** Draws the arrivals of one router, a Poisson stream for each customer. */
export function createTrace(options: TraceOptions): TraceRequest[] {
  const { deployment, seed, lengthMs, load, weights = [] } = options
  const { rankShares = RANK_SHARES } = options
  const random = createRandom(seed)
  const fullRatePerMs = placesOf(deployment) / MEAN_RUN_MS
  const requests: TraceRequest[] = []
  for (const customer of deployment.customers.keys()) {
    let atMs = 0
    while (atMs < lengthMs) {
      const ratePerMs = fullRatePerMs * load(customer, atMs)
      const pauseMs = random.exponential(1 / ratePerMs)
      // A slow stretch must not swallow the start of a fast one.
      if (pauseMs > STEP_MS) {
        atMs += STEP_MS
        continue
      }
      atMs += pauseMs
      const isLong = random.unit() < LONG_DEADLINE_SHARE
      const waitMs = isLong ? LONG_DEADLINE_MS : MAX_WAIT_MS
      requests.push({
        id: `${customer}/${requests.length}`,
        rank: RANKS[pick(random, rankShares)] ?? 0,
        customer: `customer-${customer}`,
        weight: weights[customer] ?? 1,
        enqueuedAtMs: atMs,
        deadlineAtMs: atMs + waitMs,
        runMs: random.exponential(MEAN_RUN_MS),
      })
    }
  }
  return requests.sort((a, b) => a.enqueuedAtMs - b.enqueuedAtMs)
}
