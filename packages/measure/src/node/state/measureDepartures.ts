import {
  applyVmList,
  createMembershipView,
  currentVms,
  applyReportedDepartures,
  departureAges,
  MemberState,
  type VmEntry,
  VmRole,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { createPeerLists, createRouters } from './routerFleet.js'

/** Seconds after which a departing target must get no new work. */
const MAX_LAST_USE_S = 3
const LIST_POLL_MS = 1_000
const LIST_MAX_LAG_MS = 10_000
const TICK_MS = 50
const HORIZON_MS = 15_000

interface DepartureRun {
  readonly routers: number
  readonly dataCentres: number
  readonly heartbeatMs: number
  /** Whether heartbeats carry departures to the peers. */
  readonly usesHeartbeats: boolean
  readonly seed: number
}

function target(id: string, state: MemberState): VmEntry {
  return { id, role: VmRole.Target, address: 'x:1', dataCentre: 'a', state }
}

/** Returns when the last router stops using the target, in milliseconds. */
function simulateLastUse(
  run: DepartureRun,
  peers: readonly number[][],
): number {
  const random = createRandom(run.seed)
  const before = [target('a', MemberState.Live), target('b', MemberState.Live)]
  const after = [target('a', MemberState.Leaving), ...before.slice(1)]
  const views = peers.map(() => applyVmList(createMembershipView(), before, 0))
  const pollPhases = peers.map(() => random.unit() * LIST_POLL_MS)
  const heartbeatPhases = peers.map(() => random.unit() * run.heartbeatMs)
  // At least one list must show the departure at once for it to be known.
  const listLags = peers.map((_, index) =>
    index === 0 ? 0 : random.unit() * LIST_MAX_LAG_MS,
  )
  let lastMs = 0
  const isDue = (nowMs: number, phase: number, everyMs: number): boolean =>
    (nowMs - phase + everyMs) % everyMs < TICK_MS
  for (let nowMs = TICK_MS; nowMs < HORIZON_MS; nowMs += TICK_MS) {
    for (const index of peers.keys()) {
      const view = views[index] ?? createMembershipView()
      const list = nowMs >= (listLags[index] ?? 0) ? after : before
      if (isDue(nowMs, pollPhases[index] ?? 0, LIST_POLL_MS))
        views[index] = applyVmList(view, list, nowMs)
      if (
        !run.usesHeartbeats ||
        !isDue(nowMs, heartbeatPhases[index] ?? 0, run.heartbeatMs)
      )
        continue
      for (const peer of peers[index] ?? [])
        exchangeDepartures(views, index, peer, nowMs)
    }
    const isUsed = views.some((view) =>
      currentVms(view, nowMs).some(
        (vm) => vm.id === 'a' && vm.state === MemberState.Live,
      ),
    )
    if (isUsed) lastMs = nowMs
    else if (nowMs > LIST_MAX_LAG_MS + LIST_POLL_MS) break
  }
  return lastMs
}

function exchangeDepartures(
  views: ReturnType<typeof createMembershipView>[],
  sender: number,
  receiver: number,
  nowMs: number,
): void {
  const senderView = views[sender] ?? createMembershipView()
  const receiverView = views[receiver] ?? createMembershipView()
  views[sender] = applyReportedDepartures(
    senderView,
    departureAges(receiverView, nowMs),
    nowMs,
  )
  views[receiver] = applyReportedDepartures(
    receiverView,
    departureAges(senderView, nowMs),
    nowMs,
  )
}

function measureSize(
  routers: number,
  dataCentres: number,
  heartbeatMs: number,
  seeds: number,
): Figure {
  const peers = createPeerLists(createRouters(routers, dataCentres))
  let withHeartbeatsMs = 0
  let listsOnlyMs = 0
  for (let seed = 1; seed <= seeds; seed += 1) {
    const run = { routers, dataCentres, heartbeatMs, seed }
    withHeartbeatsMs = Math.max(
      withHeartbeatsMs,
      simulateLastUse({ ...run, usesHeartbeats: true }, peers),
    )
    listsOnlyMs = Math.max(
      listsOnlyMs,
      simulateLastUse({ ...run, usesHeartbeats: false }, peers),
    )
  }
  return {
    measure: `state.leaving-last-use-${routers}-nodes`,
    value: withHeartbeatsMs / 1_000,
    unit: `s, worst of ${seeds} seeds, lists lag up to 10 s`,
    bound: MAX_LAST_USE_S,
    baseline: listsOnlyMs / 1_000,
  }
}

/** Measures the time until no router sends new work to a departing target. */
export function measureDepartures(): Figure[] {
  return [measureSize(9, 3, 500, 100), measureSize(2_600, 11, 1_000, 1)]
}
