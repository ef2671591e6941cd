import type { Figure } from '../figure.js'
import type { Deployment } from './deployments.js'
import { runFifo, runRanked, createQueueTrace } from './queueRuns.js'
import { QueueOutcome, type QueueRun } from './runQueue.js'
import { quantile } from './statistics.js'

const LOAD = 0.8
const SURGE_FACTOR = 10
const SURGING_CUSTOMER = 0
const SURGE_FROM_MS = 60_000
const SURGE_UNTIL_MS = 240_000
const WEIGHT_SCALE = 20
const MAX_SHARE_ERROR = 0.05

function isOtherCustomerInSurge(customer: string, atMs: number): boolean {
  if (customer === `customer-${SURGING_CUSTOMER}`) return false
  return atMs >= SURGE_FROM_MS && atMs < SURGE_UNTIL_MS
}

/** Returns the largest share of requests not served for a customer within its share. */
function maxUnservedShare(run: QueueRun): number {
  const demand = new Map<string, number>()
  const served = new Map<string, number>()
  for (const { request, outcome } of run.results) {
    const { customer, enqueuedAtMs } = request
    if (!isOtherCustomerInSurge(customer, enqueuedAtMs)) continue
    demand.set(customer, (demand.get(customer) ?? 0) + 1)
    if (outcome === QueueOutcome.Served)
      served.set(customer, (served.get(customer) ?? 0) + 1)
  }
  let maxUnserved = 0
  for (const [customer, requested] of demand)
    maxUnserved = Math.max(
      maxUnserved,
      1 - (served.get(customer) ?? 0) / requested,
    )
  return maxUnserved
}

function waitP95Ms(run: QueueRun): number {
  const waits: number[] = []
  for (const { request, outcome, waitMs } of run.results)
    if (
      outcome === QueueOutcome.Served &&
      isOtherCustomerInSurge(request.customer, request.enqueuedAtMs)
    )
      waits.push(waitMs)
  return quantile(waits, 0.95)
}

/** Measures customers within their share while the largest one surges. */
export function measureShares(deployment: Deployment): Figure[] {
  const { name, customerShares } = deployment
  const trace = createQueueTrace(deployment, () => 0, {
    load: (customer, atMs) => {
      const isSurge =
        customer === SURGING_CUSTOMER &&
        atMs >= SURGE_FROM_MS &&
        atMs < SURGE_UNTIL_MS
      const share = customerShares[customer] ?? 0
      return LOAD * share * (isSurge ? SURGE_FACTOR : 1)
    },
    weights: customerShares.map((share) => share * WEIGHT_SCALE),
    rankShares: [0, 0, 1, 0],
  })
  const run = runRanked(deployment, trace)
  const fifo = runFifo(deployment, trace)
  return [
    {
      measure: `limits.${name}.share-error-in-surge`,
      value: maxUnservedShare(run),
      unit: "share of a customer's own demand",
      bound: MAX_SHARE_ERROR,
      baseline: maxUnservedShare(fifo),
    },
    {
      measure: `limits.${name}.wait-p95-within-share-in-surge`,
      value: waitP95Ms(run),
      unit: 'ms',
      baseline: waitP95Ms(fifo),
    },
  ]
}
