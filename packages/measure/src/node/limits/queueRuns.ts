import { createTrace, RANKS, type CreateTraceOptions } from './createTrace.js'
import { type Deployment, slotsPerRouter } from './deployments.js'
import {
  createDrainTimeRule,
  createFifoPolicy,
  createRankedPolicy,
  type CapacityRule,
} from './queuePolicy.js'
import { QueueOutcome, type QueueRun, runQueue } from './runQueue.js'
import { mean, quantile } from './statistics.js'

/** Longest queue in requests; the daemon's default. */
export const MAX_WAITING = 1_024
/** Longest time to drain a queue; the daemon's default. */
export const MAX_DRAIN_MS = 2_000
/** Share of slots reserved for rank 0; the daemon's default. */
export const URGENT_SHARE = 0.03
/** Length of the queue traces. */
export const LENGTH_MS = 300_000

const SEED = 7

/** Creates a trace in which every customer has the same relative load. */
export function createQueueTrace(
  deployment: Deployment,
  load: (atMs: number) => number,
  options: Partial<CreateTraceOptions> = {},
) {
  return createTrace({
    deployment,
    seed: SEED,
    lengthMs: LENGTH_MS,
    load: (customer, atMs) =>
      load(atMs) * (deployment.customerShares[customer] ?? 0),
    ...options,
  })
}

type Trace = ReturnType<typeof createQueueTrace>

/** Runs a trace through the daemon's queue; `rule` replaces its capacity rule. */
export function runRanked(
  deployment: Deployment,
  trace: Trace,
  rule?: CapacityRule,
  urgentShare = URGENT_SHARE,
): QueueRun {
  const slots = slotsPerRouter(deployment)
  const capacityRule =
    rule ?? createDrainTimeRule(slots, MAX_DRAIN_MS, MAX_WAITING)
  return runQueue(trace, createRankedPolicy(slots, capacityRule, urgentShare))
}

/** Runs a trace through the baseline, a FIFO queue. */
export function runFifo(deployment: Deployment, trace: Trace): QueueRun {
  return runQueue(
    trace,
    createFifoPolicy(slotsPerRouter(deployment), MAX_WAITING),
  )
}

/** Returns the 95th percentile of the waits of served top-rank requests. */
export function topRankWaitP95Ms(run: QueueRun): number {
  const waits: number[] = []
  for (const { request, outcome, waitMs } of run.results)
    if (request.rank === RANKS[0] && outcome === QueueOutcome.Served)
      waits.push(waitMs)
  return quantile(waits, 0.95)
}

/** Returns the share of requests served, of one rank or of all ranks. */
export function servedShare(run: QueueRun, rank?: number): number {
  let total = 0
  let served = 0
  for (const { request, outcome } of run.results) {
    if (rank !== undefined && request.rank !== rank) continue
    total += 1
    if (outcome === QueueOutcome.Served) served += 1
  }
  return total === 0 ? 1 : served / total
}

/** Returns the mean time until a request was shed or expired. */
export function meanRejectionWaitMs(run: QueueRun): number {
  const waits: number[] = []
  for (const { outcome, waitMs } of run.results)
    if (outcome !== QueueOutcome.Served) waits.push(waitMs)
  return mean(waits)
}
