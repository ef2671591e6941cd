import type { Figure } from '../figure.js'
import type { Absence, RunResult } from './bench/simulateRouting.js'
import type { Arrival } from './bench/createTrace.js'
import type { Deployment } from './bench/deployment.js'
import { homeOfBench } from './bench/ways/homeOfBench.js'
import { deployments, runGrants, TRACE_MS, traceOf } from './benchRuns.js'

const UNRELATED_MOVES_BOUND = 0.02
const FLAP_LOSS_BOUND = 0.1
const CHANGE_MS = 600_000
/** Milliseconds until a new home has collected its counts. */
const COLLECTED_MS = 1_000
const AFTER_MS = 240_000
const FLAP_EVERY_MS = 30_000
const FLAP_FOR_MS = 10_000
const LEAVING = 2
const FLAPPING = [1, 4]

/** Share of returning chats that left a target other than `leaving`. */
function movedShare(
  arrivals: readonly Arrival[],
  result: RunResult,
  window: { readonly fromMs: number; readonly toMs: number },
  leaving: number | undefined,
): number {
  const last = new Map<string, number>()
  let returned = 0
  let moved = 0
  for (const { id, chat, atMs } of arrivals) {
    const target = result.targetOf.get(id)
    const before = last.get(chat)
    if (target === undefined) continue
    last.set(chat, target)
    if (before === undefined || atMs < window.fromMs || atMs >= window.toMs)
      continue
    returned += 1
    if (before !== target && before !== leaving) moved += 1
  }
  return moved / Math.max(1, returned)
}

function measureLeaving(
  deployment: Deployment,
  arrivals: Arrival[],
  calm: RunResult,
): Figure {
  const absences = [{ target: LEAVING, fromMs: CHANGE_MS, toMs: TRACE_MS }]
  const { result } = runGrants(deployment, arrivals, {}, { absences })
  const window = { fromMs: CHANGE_MS, toMs: CHANGE_MS + AFTER_MS }
  const usual = movedShare(arrivals, calm, window, undefined)
  return {
    measure: `routing.${deployment.name}.leaving-target.other-chats-moved`,
    value: movedShare(arrivals, result, window, LEAVING) - usual,
    unit: 'share of returning requests beyond a calm run',
    bound: UNRELATED_MOVES_BOUND,
    baseline: usual,
  }
}

function measureReplaced(
  deployment: Deployment,
  arrivals: Arrival[],
  calm: RunResult,
): Figure[] {
  const losses = [{ router: homeOfBench(deployment), atMs: CHANGE_MS }]
  const { result } = runGrants(deployment, arrivals, {}, { losses })
  const name = `routing.${deployment.name}.lost-home`
  const moves = (run: RunResult): number =>
    run.needlessMovesMs.filter((ms) => ms >= CHANGE_MS + COLLECTED_MS).length
  return [
    {
      measure: `${name}.chats-moved-from-free-targets`,
      value: moves(result),
      unit: 'requests after the new home has collected',
      bound: 0,
      baseline: moves(calm),
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

function flaps(): Absence[] {
  const absences: Absence[] = []
  for (const [position, target] of FLAPPING.entries())
    for (
      let fromMs = 300_000 + 7_000 * position;
      fromMs < TRACE_MS;
      fromMs += FLAP_EVERY_MS
    )
      absences.push({ target, fromMs, toMs: fromMs + FLAP_FOR_MS })
  return absences
}

function measureFlaps(
  deployment: Deployment,
  arrivals: Arrival[],
  calm: RunResult,
): Figure {
  const { result } = runGrants(
    deployment,
    arrivals,
    { dampFlaps: true },
    { absences: flaps() },
  )
  const undamped = runGrants(deployment, arrivals, {}, { absences: flaps() })
  return {
    measure: `routing.${deployment.name}.flapping.reuse-lost`,
    value: 1 - result.reuse / calm.reuse,
    unit: 'share of reuse',
    bound: FLAP_LOSS_BOUND,
    baseline: 1 - undamped.result.reuse / calm.reuse,
  }
}

/** What leaving and flapping targets and lost routers cost. */
export function measureChurn(): Figure[] {
  return deployments.flatMap((deployment) => {
    const arrivals = traceOf(deployment, false)
    const calm = runGrants(deployment, arrivals).result
    return [
      measureLeaving(deployment, arrivals, calm),
      ...measureReplaced(deployment, arrivals, calm),
      measureFlaps(deployment, arrivals, calm),
    ]
  })
}
