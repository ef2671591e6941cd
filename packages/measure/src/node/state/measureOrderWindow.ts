import { engineStateSchema, OrderActionKind, planOrders } from '@auburnbay/core'
import type { Figure } from '../figure.js'

const LEASE_MS = 15_000
const PAUSE_MS = 40_000
const ROUND_MS = 1_000
const HORIZON_MS = 120_000
const right = engineStateSchema.parse({ model: 'right' })
const wrong = engineStateSchema.parse({ model: 'wrong' })

/**
 * Returns for how long an engine holds a wrong state, in milliseconds: the
 * holder of token 1 pauses between its last look at the log and its order,
 * the holder of token 2 has brought the engine to the right state meanwhile.
 */
function wrongOrderWindow(checksFencing: boolean, readsBack: boolean): number {
  let held = right
  let highestToken = 2
  let sinceMs: number | undefined
  let wrongMs = 0
  const order = (token: number, state: typeof right): void => {
    if (checksFencing && token < highestToken) return
    highestToken = Math.max(highestToken, token)
    held = state
  }
  for (let nowMs = 0; nowMs < HORIZON_MS; nowMs += ROUND_MS) {
    if (nowMs === PAUSE_MS) order(1, wrong)
    if (held !== right) wrongMs += ROUND_MS
    if (!readsBack) continue
    const sighting = { inFlight: 0, atMs: nowMs }
    const drain = { sinceMs, routers: [sighting], target: sighting }
    const target = { id: 'engine-1', service: 'briefing', desired: right }
    const [action] = planOrders({
      targets: [{ ...target, observed: held, drain, drifted: true }],
      lease: { token: 2, validUntilMs: nowMs + LEASE_MS },
      loads: 1,
      nowMs,
    })
    if (action?.kind === OrderActionKind.Drain) sinceMs ??= nowMs
    if (action?.kind === OrderActionKind.Send) order(2, action.state)
  }
  return wrongMs
}

/** Time for which a paused holder's late order can stand. */
export function measureOrderWindow(): Figure[] {
  return [
    {
      measure: 'state.wrong-order-window-checking-engine',
      value: wrongOrderWindow(true, true) / 1_000,
      unit: 's',
      bound: 0,
      baseline: wrongOrderWindow(true, false) / 1_000,
    },
    {
      measure: 'state.wrong-order-window-ignoring-engine',
      value: wrongOrderWindow(false, true) / 1_000,
      unit: 's on an idle engine with a load that takes no time; baseline never reads back, within 120 s',
      baseline: wrongOrderWindow(false, false) / 1_000,
    },
  ]
}
