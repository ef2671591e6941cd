import { createTrace, RANKS, type TraceOptions } from './createTrace.js'
import { type Deployment, placesOf } from './deployments.js'
import {
  drainRule,
  fifoPolicy,
  rankedPolicy,
  type CapacityRule,
} from './queuePolicy.js'
import { Ending, type QueueRun, runQueue } from './runQueue.js'
import { mean, quantile } from './statistics.js'

/** Longest queue in any case, as the daemon's default. */
export const MAX_WAITING = 1_024
/** Longest time to work off a queue, as the daemon's default. */
export const DRAIN_MS = 2_000
/** Share of places for rank 0 alone, as the daemon's default. */
export const URGENT_SHARE = 0.03
/** Length of the queue traces. */
export const LENGTH_MS = 300_000

const SEED = 7

/** Draws the trace of a load that all customers share alike. */
export function traceOf(
  deployment: Deployment,
  load: (atMs: number) => number,
  options: Partial<TraceOptions> = {},
) {
  return createTrace({
    deployment,
    seed: SEED,
    lengthMs: LENGTH_MS,
    load: (customer, atMs) =>
      load(atMs) * (deployment.customers[customer] ?? 0),
    ...options,
  })
}

type Trace = ReturnType<typeof traceOf>

/** Runs a trace through the daemon's order with another bound, if given. */
export function runRanked(
  deployment: Deployment,
  trace: Trace,
  rule?: CapacityRule,
  urgentShare = URGENT_SHARE,
): QueueRun {
  const places = placesOf(deployment)
  const bound = rule ?? drainRule(places, DRAIN_MS, MAX_WAITING)
  return runQueue(trace, rankedPolicy(places, bound, urgentShare))
}

/** Runs a trace through the baseline, first come first served. */
export function runFifo(deployment: Deployment, trace: Trace): QueueRun {
  return runQueue(trace, fifoPolicy(placesOf(deployment), MAX_WAITING))
}

/** 95th percentile of the waits of the best rank's served requests. */
export function topWaitMs(run: QueueRun): number {
  const waits: number[] = []
  for (const { request, ending, waitMs } of run.results)
    if (request.rank === RANKS[0] && ending === Ending.Served)
      waits.push(waitMs)
  return quantile(waits, 0.95)
}

/** Share of a rank's requests that were served; of all without a rank. */
export function servedShare(run: QueueRun, rank?: number): number {
  let all = 0
  let served = 0
  for (const { request, ending } of run.results) {
    if (rank !== undefined && request.rank !== rank) continue
    all += 1
    if (ending === Ending.Served) served += 1
  }
  return all === 0 ? 1 : served / all
}

/** Mean time until a caller was told that its request does not run. */
export function refusalWaitMs(run: QueueRun): number {
  const waits: number[] = []
  for (const { ending, waitMs } of run.results)
    if (ending !== Ending.Served) waits.push(waitMs)
  return mean(waits)
}
