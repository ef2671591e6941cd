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
import { createPeerLists, createRouters } from './fleetOfRouters.js'

/** Seconds after which a leaving target gets no new work. */
const LEAVING_BOUND_S = 3
const LIST_POLL_MS = 1_000
const LIST_MAX_LAG_MS = 10_000
const TICK_MS = 50
const HORIZON_MS = 15_000

interface LeavingRun {
  readonly routers: number
  readonly dataCentres: number
  readonly heartbeatMs: number
  readonly exchange: boolean
  readonly seed: number
}

function target(id: string, state: MemberState): VmEntry {
  return { id, role: VmRole.Target, address: 'x:1', dataCentre: 'a', state }
}

/** Returns when the last router stops using the target, in milliseconds. */
function lastUse(run: LeavingRun, peers: readonly number[][]): number {
  const random = createRandom(run.seed)
  const before = [target('a', MemberState.Live), target('b', MemberState.Live)]
  const after = [target('a', MemberState.Leaving), ...before.slice(1)]
  const views = peers.map(() => applyVmList(createMembershipView(), before, 0))
  const polls = peers.map(() => random.unit() * LIST_POLL_MS)
  const beats = peers.map(() => random.unit() * run.heartbeatMs)
  // One list shows the departure at once, or nobody could know of it.
  const lags = peers.map((_, index) =>
    index === 0 ? 0 : random.unit() * LIST_MAX_LAG_MS,
  )
  let lastMs = 0
  const isDue = (nowMs: number, phase: number, everyMs: number): boolean =>
    (nowMs - phase + everyMs) % everyMs < TICK_MS
  for (let nowMs = TICK_MS; nowMs < HORIZON_MS; nowMs += TICK_MS) {
    for (const index of peers.keys()) {
      const view = views[index] ?? createMembershipView()
      const list = nowMs >= (lags[index] ?? 0) ? after : before
      if (isDue(nowMs, polls[index] ?? 0, LIST_POLL_MS))
        views[index] = applyVmList(view, list, nowMs)
      if (!run.exchange || !isDue(nowMs, beats[index] ?? 0, run.heartbeatMs))
        continue
      for (const peer of peers[index] ?? []) tell(views, index, peer, nowMs)
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

function tell(
  views: ReturnType<typeof createMembershipView>[],
  one: number,
  other: number,
  nowMs: number,
): void {
  const left = views[one] ?? createMembershipView()
  const right = views[other] ?? createMembershipView()
  views[one] = applyReportedDepartures(left, departureAges(right, nowMs), nowMs)
  views[other] = applyReportedDepartures(
    right,
    departureAges(left, nowMs),
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
  let withPeers = 0
  let alone = 0
  for (let seed = 1; seed <= seeds; seed += 1) {
    const run = { routers, dataCentres, heartbeatMs, seed }
    withPeers = Math.max(withPeers, lastUse({ ...run, exchange: true }, peers))
    alone = Math.max(alone, lastUse({ ...run, exchange: false }, peers))
  }
  return {
    measure: `state.leaving-last-use-${routers}-nodes`,
    value: withPeers / 1_000,
    unit: `s, worst of ${seeds} seeds, lists lag up to 10 s`,
    bound: LEAVING_BOUND_S,
    baseline: alone / 1_000,
  }
}

/** Time until no router gives a leaving target new work. */
export function measureLeaving(): Figure[] {
  return [measureSize(9, 3, 500, 100), measureSize(2_600, 11, 1_000, 1)]
}
