import type { Figure } from '../figure.js'
import type { Deployment } from './deployments.js'
import { runFifo, runRanked, traceOf } from './queueRuns.js'
import { Ending, type QueueRun } from './runQueue.js'
import { quantile } from './statistics.js'

const LOAD = 0.8
const SURGE_FACTOR = 10
const SURGING = 0
const SURGE_FROM_MS = 60_000
const SURGE_UNTIL_MS = 240_000
const WEIGHT_SCALE = 20
const SHARE_ERROR_BOUND = 0.05

function isAffected(customer: string, atMs: number): boolean {
  if (customer === `customer-${SURGING}`) return false
  return atMs >= SURGE_FROM_MS && atMs < SURGE_UNTIL_MS
}

/** Largest part of its own demand that a customer within its share lost. */
function shareError(run: QueueRun): number {
  const demand = new Map<string, number>()
  const served = new Map<string, number>()
  for (const { request, ending } of run.results) {
    const { customer, enqueuedAtMs } = request
    if (!isAffected(customer, enqueuedAtMs)) continue
    demand.set(customer, (demand.get(customer) ?? 0) + 1)
    if (ending === Ending.Served)
      served.set(customer, (served.get(customer) ?? 0) + 1)
  }
  let worst = 0
  for (const [customer, wanted] of demand)
    worst = Math.max(worst, 1 - (served.get(customer) ?? 0) / wanted)
  return worst
}

function waitP95(run: QueueRun): number {
  const waits: number[] = []
  for (const { request, ending, waitMs } of run.results)
    if (
      ending === Ending.Served &&
      isAffected(request.customer, request.enqueuedAtMs)
    )
      waits.push(waitMs)
  return quantile(waits, 0.95)
}

/** Customers within their share while the largest one surges. */
export function measureShares(deployment: Deployment): Figure[] {
  const { name, customers } = deployment
  const trace = traceOf(deployment, () => 0, {
    load: (customer, atMs) => {
      const surges =
        customer === SURGING && atMs >= SURGE_FROM_MS && atMs < SURGE_UNTIL_MS
      const share = customers[customer] ?? 0
      return LOAD * share * (surges ? SURGE_FACTOR : 1)
    },
    weights: customers.map((share) => share * WEIGHT_SCALE),
    rankShares: [0, 0, 1, 0],
  })
  const run = runRanked(deployment, trace)
  const fifo = runFifo(deployment, trace)
  return [
    {
      measure: `limits.${name}.share-error-in-surge`,
      value: shareError(run),
      unit: "share of a customer's own demand",
      bound: SHARE_ERROR_BOUND,
      baseline: shareError(fifo),
    },
    {
      measure: `limits.${name}.wait-p95-within-share-in-surge`,
      value: waitP95(run),
      unit: 'ms',
      baseline: waitP95(fifo),
    },
  ]
}
