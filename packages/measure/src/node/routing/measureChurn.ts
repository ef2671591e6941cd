import type { Figure } from '../figure.js'
import type { TargetAbsence, RoutingResult } from './bench/simulateRouting.js'
import type { Arrival } from './bench/createTrace.js'
import type { Deployment } from './bench/deployment.js'
import { resolveCoordinatorIndex } from './bench/strategies/resolveCoordinatorIndex.js'
import {
  deployments,
  runGrantStrategy,
  TRACE_MS,
  createRoutingTrace,
} from './routingRuns.js'

const MAX_UNRELATED_MOVES = 0.02
const MAX_REUSE_LOSS = 0.1
const CHANGE_AT_MS = 600_000
/** Milliseconds until a new coordinator has collected the in-flight counts. */
const COLLECT_MS = 1_000
const OBSERVED_MS = 240_000
const FLAP_INTERVAL_MS = 30_000
const FLAP_DURATION_MS = 10_000
const LEAVING_TARGET = 2
const FLAPPING_TARGETS = [1, 4]

/** Returns the share of returning requests that moved off a target other than `leaving`. */
function movedShare(
  arrivals: readonly Arrival[],
  result: RoutingResult,
  window: { readonly fromMs: number; readonly toMs: number },
  leaving: number | undefined,
): number {
  const lastTargetOf = new Map<string, number>()
  let returned = 0
  let moved = 0
  for (const { id, chat, atMs } of arrivals) {
    const target = result.targetOf.get(id)
    const previous = lastTargetOf.get(chat)
    if (target === undefined) continue
    lastTargetOf.set(chat, target)
    if (previous === undefined || atMs < window.fromMs || atMs >= window.toMs)
      continue
    returned += 1
    if (previous !== target && previous !== leaving) moved += 1
  }
  return moved / Math.max(1, returned)
}

function measureLeaving(
  deployment: Deployment,
  arrivals: Arrival[],
  undisturbed: RoutingResult,
): Figure {
  const absences = [
    { target: LEAVING_TARGET, fromMs: CHANGE_AT_MS, toMs: TRACE_MS },
  ]
  const { result } = runGrantStrategy(deployment, arrivals, {}, { absences })
  const window = { fromMs: CHANGE_AT_MS, toMs: CHANGE_AT_MS + OBSERVED_MS }
  const baseline = movedShare(arrivals, undisturbed, window, undefined)
  return {
    measure: `routing.${deployment.name}.leaving-target.other-chats-moved`,
    value: movedShare(arrivals, result, window, LEAVING_TARGET) - baseline,
    unit: 'share of returning requests beyond a calm run',
    bound: MAX_UNRELATED_MOVES,
    baseline,
  }
}

function measureCoordinatorFailure(
  deployment: Deployment,
  arrivals: Arrival[],
  undisturbed: RoutingResult,
): Figure[] {
  const failures = [
    { router: resolveCoordinatorIndex(deployment), atMs: CHANGE_AT_MS },
  ]
  const { result } = runGrantStrategy(deployment, arrivals, {}, { failures })
  const name = `routing.${deployment.name}.lost-home`
  const countMoves = (run: RoutingResult): number =>
    run.needlessMovesAtMs.filter((ms) => ms >= CHANGE_AT_MS + COLLECT_MS).length
  return [
    {
      measure: `${name}.chats-moved-from-free-targets`,
      value: countMoves(result),
      unit: 'requests after the new home has collected',
      bound: 0,
      baseline: countMoves(undisturbed),
    },
    {
      measure: `${name}.over-bound`,
      value: result.overBound,
      unit: 'placements',
      bound: 0,
    },
    {
      measure: `${name}.unplaced`,
      value: result.unplaced,
      unit: 'requests',
      bound: 0,
    },
  ]
}

function createFlaps(): TargetAbsence[] {
  const absences: TargetAbsence[] = []
  for (const [position, target] of FLAPPING_TARGETS.entries())
    for (
      let fromMs = 300_000 + 7_000 * position;
      fromMs < TRACE_MS;
      fromMs += FLAP_INTERVAL_MS
    )
      absences.push({ target, fromMs, toMs: fromMs + FLAP_DURATION_MS })
  return absences
}

function measureFlaps(
  deployment: Deployment,
  arrivals: Arrival[],
  undisturbed: RoutingResult,
): Figure {
  const { result } = runGrantStrategy(
    deployment,
    arrivals,
    { dampFlaps: true },
    { absences: createFlaps() },
  )
  const undamped = runGrantStrategy(
    deployment,
    arrivals,
    {},
    { absences: createFlaps() },
  )
  return {
    measure: `routing.${deployment.name}.flapping.reuse-lost`,
    value: 1 - result.reuse / undisturbed.reuse,
    unit: 'share of reuse',
    bound: MAX_REUSE_LOSS,
    baseline: 1 - undamped.result.reuse / undisturbed.reuse,
  }
}

/** Measures the effect of leaving and flapping targets and of a failed coordinator. */
export function measureChurn(): Figure[] {
  return deployments.flatMap((deployment) => {
    const arrivals = createRoutingTrace(deployment, false)
    const undisturbed = runGrantStrategy(deployment, arrivals).result
    return [
      measureLeaving(deployment, arrivals, undisturbed),
      ...measureCoordinatorFailure(deployment, arrivals, undisturbed),
      measureFlaps(deployment, arrivals, undisturbed),
    ]
  })
}
