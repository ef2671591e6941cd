import { type Arrival, createTrace } from './bench/createTrace.js'
import { asociacion, corrib, type Deployment } from './bench/deployment.js'
import type { CreateRoutingStrategy } from './bench/routingStrategy.js'
import {
  type SimulateRoutingOptions,
  type RoutingResult,
  simulateRouting,
} from './bench/simulateRouting.js'
import {
  grantStrategy,
  type GrantStrategyOptions,
} from './bench/strategies/grantStrategy.js'
import {
  createGrantTally,
  type GrantTally,
} from './bench/strategies/createGrantTally.js'

const MINUTE_MS = 60_000
const WARM_UP_MS = 5 * MINUTE_MS
const TRACE_SEED = 5

/** Length of a trace in milliseconds. */
export const TRACE_MS = 16 * MINUTE_MS

/** Both deployments, in the order in which figures are printed. */
export const deployments: readonly Deployment[] = [corrib, asociacion]

/** Options of a run that differ between the runs over one trace. */
export type RunOverrides = Partial<
  Omit<SimulateRoutingOptions, 'deployment' | 'createStrategy'>
>

/** Creates the trace of a deployment; a surge lasts from minute 9 to 12. */
export function createRoutingTrace(
  deployment: Deployment,
  hasSurge: boolean,
  lengthMs = TRACE_MS,
): Arrival[] {
  const surge = { fromMs: 9 * MINUTE_MS, toMs: 12 * MINUTE_MS }
  return createTrace({
    deployment,
    seed: TRACE_SEED,
    lengthMs,
    surge: hasSurge ? surge : undefined,
  })
}

/** Runs a strategy over a trace. */
export function runStrategy(
  deployment: Deployment,
  arrivals: readonly Arrival[],
  createStrategy: CreateRoutingStrategy,
  overrides: RunOverrides = {},
): RoutingResult {
  return simulateRouting({
    deployment,
    arrivals,
    createStrategy,
    warmUpMs: WARM_UP_MS,
    lengthMs: TRACE_MS,
    ...overrides,
  })
}

/** Result and costs of a run of the grant strategy. */
export interface GrantStrategyRun {
  readonly result: RoutingResult
  readonly tally: GrantTally
}

/** Runs the grant strategy over a trace. */
export function runGrantStrategy(
  deployment: Deployment,
  arrivals: readonly Arrival[],
  options: GrantStrategyOptions = {},
  overrides: RunOverrides = {},
): GrantStrategyRun {
  const tally = createGrantTally(deployment.routers)
  const createStrategy = grantStrategy(tally, options)
  return {
    result: runStrategy(deployment, arrivals, createStrategy, overrides),
    tally,
  }
}
