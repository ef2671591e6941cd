import { engineStateSchema, OrderActionKind, planOrders } from '@auburnbay/core'
import type { Figure } from '../figure.js'

const LEASE_MS = 15_000
const PAUSE_MS = 40_000
const ROUND_MS = 1_000
const HORIZON_MS = 120_000
const desiredState = engineStateSchema.parse({ model: 'right' })
const wrongState = engineStateSchema.parse({ model: 'wrong' })

/**
 * Simulates a late order and returns how long the engine is in a wrong state,
 * in milliseconds. The lease holder with token 1 pauses between its last read
 * of the log and its order; meanwhile the holder with token 2 has brought the
 * engine to the desired state. With `checksFencing`, the engine rejects the
 * lower token; with `readsBack`, the holder with token 2 keeps reading the
 * engine's state and corrects it.
 */
function simulateLateOrder(checksFencing: boolean, readsBack: boolean): number {
  let state = desiredState
  let highestToken = 2
  let sinceMs: number | undefined
  let wrongMs = 0
  const applyOrder = (token: number, ordered: typeof desiredState): void => {
    if (checksFencing && token < highestToken) return
    highestToken = Math.max(highestToken, token)
    state = ordered
  }
  for (let nowMs = 0; nowMs < HORIZON_MS; nowMs += ROUND_MS) {
    if (nowMs === PAUSE_MS) applyOrder(1, wrongState)
    if (state !== desiredState) wrongMs += ROUND_MS
    if (!readsBack) continue
    const loadReport = { inFlight: 0, atMs: nowMs }
    const drain = { sinceMs, routers: [loadReport], target: loadReport }
    const target = {
      id: 'engine-1',
      service: 'briefing',
      desired: desiredState,
    }
    const [action] = planOrders({
      targets: [{ ...target, observed: state, drain, drifted: true }],
      lease: { token: 2, validUntilMs: nowMs + LEASE_MS },
      loads: 1,
      nowMs,
    })
    if (action?.kind === OrderActionKind.Drain) sinceMs ??= nowMs
    if (action?.kind === OrderActionKind.Send) applyOrder(2, action.state)
  }
  return wrongMs
}

/** Measures how long a late order of a paused lease holder stays in effect. */
export function measureOrderWindow(): Figure[] {
  return [
    {
      measure: 'state.wrong-order-window-checking-engine',
      value: simulateLateOrder(true, true) / 1_000,
      unit: 's',
      bound: 0,
      baseline: simulateLateOrder(true, false) / 1_000,
    },
    {
      measure: 'state.wrong-order-window-ignoring-engine',
      value: simulateLateOrder(false, true) / 1_000,
      unit: 's on an idle engine with a load that takes no time; baseline never reads back, within 120 s',
      baseline: simulateLateOrder(false, false) / 1_000,
    },
  ]
}
