import type { WaitingRequest } from '@auburnbay/core'
import { pickIndex } from '../routing/bench/pickIndex.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { type Deployment, MEAN_RUN_MS, slotsPerRouter } from './deployments.js'

/** A request of a trace and its run time. */
export interface TraceRequest extends WaitingRequest {
  readonly runMs: number
}

/** Options for {@link createTrace}. */
export interface CreateTraceOptions {
  readonly deployment: Deployment
  readonly seed: number
  readonly lengthMs: number
  /** Offered load of a customer as a multiple of the slots' capacity. */
  readonly load: (customer: number, atMs: number) => number
  /** @default 1 for each customer */
  readonly weights?: readonly number[]
  /** Shares of the requests by rank. @default a tenth in the top rank */
  readonly rankShares?: readonly number[]
}

/** Ranks of the requests, top rank first. */
export const RANKS: readonly number[] = [0, 3, 6, 9]
const RANK_SHARES = [0.1, 0.3, 0.4, 0.2]
/** Longest wait of a request without a deadline; the daemon's default. */
export const MAX_WAIT_MS = 10_000
const LONG_DEADLINE_MS = 60_000
const LONG_DEADLINE_SHARE = 0.1
const MAX_STEP_MS = 100

/** Creates the arrivals of one router, a Poisson process for each customer. */
export function createTrace(options: CreateTraceOptions): TraceRequest[] {
  const { deployment, seed, lengthMs, load, weights = [] } = options
  const { rankShares = RANK_SHARES } = options
  const random = createRandom(seed)
  const fullRatePerMs = slotsPerRouter(deployment) / MEAN_RUN_MS
  const requests: TraceRequest[] = []
  for (const customer of deployment.customerShares.keys()) {
    let atMs = 0
    while (atMs < lengthMs) {
      const ratePerMs = fullRatePerMs * load(customer, atMs)
      const pauseMs = random.exponential(1 / ratePerMs)
      // Bounds each step so that a low rate does not skip the start of a high one.
      if (pauseMs > MAX_STEP_MS) {
        atMs += MAX_STEP_MS
        continue
      }
      atMs += pauseMs
      const isLong = random.unit() < LONG_DEADLINE_SHARE
      const waitMs = isLong ? LONG_DEADLINE_MS : MAX_WAIT_MS
      requests.push({
        id: `${customer}/${requests.length}`,
        rank: RANKS[pickIndex(random, rankShares)] ?? 0,
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
