import { type Arrival, createTrace } from './bench/createTrace.js'
import { asociacion, corrib, type Deployment } from './bench/deployment.js'
import type { CreateWay } from './bench/routingWay.js'
import {
  type RunOptions,
  type RunResult,
  simulateRouting,
} from './bench/simulateRouting.js'
import { grantWay, type GrantWayOptions } from './bench/ways/createGrantWay.js'
import { createGrantTally, type GrantTally } from './bench/ways/grantTally.js'

const MINUTE_MS = 60_000
const WARM_UP_MS = 5 * MINUTE_MS
const TRACE_SEED = 5

/** Length of a trace in milliseconds. */
export const TRACE_MS = 16 * MINUTE_MS

/** Both deployments, in the order in which figures are printed. */
export const deployments: readonly Deployment[] = [corrib, asociacion]

/** What differs between the runs over one trace. */
export type RunChanges = Partial<Omit<RunOptions, 'deployment' | 'createWay'>>

/** Requests of a deployment; a surge lasts from minute 9 to minute 12. */
export function traceOf(deployment: Deployment, surging: boolean): Arrival[] {
  const surge = { fromMs: 9 * MINUTE_MS, toMs: 12 * MINUTE_MS }
  return createTrace({
    deployment,
    seed: TRACE_SEED,
    lengthMs: TRACE_MS,
    surge: surging ? surge : undefined,
  })
}

/** Runs a way over a trace. */
export function runWay(
  deployment: Deployment,
  arrivals: readonly Arrival[],
  createWay: CreateWay,
  changes: RunChanges = {},
): RunResult {
  return simulateRouting({
    deployment,
    arrivals,
    createWay,
    warmUpMs: WARM_UP_MS,
    lengthMs: TRACE_MS,
    ...changes,
  })
}

/** What a run of the chosen way showed and cost. */
export interface GrantRun {
  readonly result: RunResult
  readonly tally: GrantTally
}

/** Runs the chosen way over a trace. */
export function runGrants(
  deployment: Deployment,
  arrivals: readonly Arrival[],
  options: GrantWayOptions = {},
  changes: RunChanges = {},
): GrantRun {
  const tally = createGrantTally(deployment.routers)
  const createWay = grantWay(tally, options)
  return { result: runWay(deployment, arrivals, createWay, changes), tally }
}
