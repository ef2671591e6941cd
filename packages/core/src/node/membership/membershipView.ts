import {
  MAX_DEPARTED_TARGETS,
  FLAP_BASE_HOLD_MS,
  FLAP_MAX_HOLD_MS,
  FLAP_RESET_MS,
  MAX_REPORTED_DEPARTURES,
  DEPARTURE_ANNOUNCE_MS,
  MAX_HEARTBEAT_DEPARTURES,
  DEPARTURE_TTL_MS,
} from './constants.js'
import { MemberState } from './memberState.js'
import { type VmEntry, VmRole } from './vmEntry.js'

interface FlapRecord {
  readonly count: number
  /** Time until which the VM is shown as leaving. */
  readonly holdUntilMs: number
  readonly changedAtMs: number
}

/** VMs known to a router, from the VM list and from reports of its peers. */
export interface MembershipView {
  readonly listed: ReadonlyMap<string, VmEntry>
  /** Targets that were listed before and are missing from the newest list. */
  readonly departed: ReadonlyMap<string, VmEntry>
  /** Ids of VMs kept although the newest list lacks them, see {@link applyVmList}. */
  readonly held: readonly string[]
  readonly flaps: ReadonlyMap<string, FlapRecord>
  /** When the VM list first showed a VM as leaving or missing, by id. */
  readonly observedLeavingAtMs: ReadonlyMap<string, number>
  /** When any router last saw a VM leaving, by id, in milliseconds of the local clock. */
  readonly reportedLeavingAtMs: ReadonlyMap<string, number>
}

/** Creates an empty view. */
export function createMembershipView(): MembershipView {
  return {
    listed: new Map(),
    departed: new Map(),
    held: [],
    flaps: new Map(),
    observedLeavingAtMs: new Map(),
    reportedLeavingAtMs: new Map(),
  }
}

function indexById(list: readonly VmEntry[]): Map<string, VmEntry> {
  const entries = new Map<string, VmEntry>()
  for (const vm of list) {
    const isLeaving = entries.get(vm.id)?.state === MemberState.Leaving
    const state = isLeaving ? MemberState.Leaving : vm.state
    entries.set(vm.id, { ...vm, state })
  }
  return entries
}

function findHeld(
  view: MembershipView,
  next: ReadonlyMap<string, VmEntry>,
): VmEntry[] {
  const held: VmEntry[] = []
  for (const role of Object.values(VmRole)) {
    const known = [...view.listed.values()].filter((vm) => vm.role === role)
    const missing = known.filter(({ id }) => !next.has(id))
    if (missing.length * 2 > known.length) held.push(...missing)
  }
  return held
}

function wasLive(view: MembershipView, id: string): boolean {
  return view.listed.get(id)?.state === MemberState.Live
}

function countFlaps(
  view: MembershipView,
  next: ReadonlyMap<string, VmEntry>,
  nowMs: number,
): Map<string, FlapRecord> {
  const flaps = new Map<string, FlapRecord>()
  for (const [id, entry] of view.flaps)
    if (nowMs - entry.changedAtMs < FLAP_RESET_MS) flaps.set(id, entry)
  for (const [id, vm] of next) {
    const isLive = vm.state === MemberState.Live
    const isKnown = view.listed.has(id) || view.departed.has(id)
    if (!isLive || !isKnown || wasLive(view, id)) continue
    const count = (flaps.get(id)?.count ?? 0) + 1
    const holdMs = Math.min(
      FLAP_BASE_HOLD_MS * 2 ** (count - 1),
      FLAP_MAX_HOLD_MS,
    )
    flaps.set(id, { count, holdUntilMs: nowMs + holdMs, changedAtMs: nowMs })
  }
  return flaps
}

function findDeparted(
  view: MembershipView,
  next: ReadonlyMap<string, VmEntry>,
): Map<string, VmEntry> {
  const departed = new Map<string, VmEntry>()
  for (const [id, vm] of [...view.departed, ...view.listed])
    if (vm.role === VmRole.Target && !next.has(id)) departed.set(id, vm)
  for (const id of departed.keys()) {
    if (departed.size <= MAX_DEPARTED_TARGETS) break
    departed.delete(id)
  }
  return departed
}

function findObservedLeaving(
  view: MembershipView,
  next: ReadonlyMap<string, VmEntry>,
  departed: ReadonlyMap<string, VmEntry>,
  nowMs: number,
): Map<string, number> {
  const leavingAtMs = new Map<string, number>()
  for (const [id, vm] of next)
    if (vm.state === MemberState.Leaving)
      leavingAtMs.set(id, view.observedLeavingAtMs.get(id) ?? nowMs)
  for (const id of departed.keys())
    leavingAtMs.set(id, view.observedLeavingAtMs.get(id) ?? nowMs)
  return leavingAtMs
}

/**
 * Applies a new VM list. If more than half of the VMs of a role vanish at once,
 * the list is considered incomplete and these VMs are kept.
 */
export function applyVmList(
  view: MembershipView,
  list: readonly VmEntry[],
  nowMs: number,
): MembershipView {
  const next = indexById(list)
  const held = findHeld(view, next)
  for (const vm of held) next.set(vm.id, vm)
  const departed = findDeparted(view, next)
  return {
    ...view,
    listed: next,
    departed,
    observedLeavingAtMs: findObservedLeaving(view, next, departed, nowMs),
    held: held.map(({ id }) => id),
    flaps: countFlaps(view, next, nowMs),
  }
}

/** Applies departures reported by a peer; `ages` are in milliseconds, by VM id. */
export function applyReportedDepartures(
  view: MembershipView,
  ages: Readonly<Record<string, number>>,
  nowMs: number,
): MembershipView {
  const reportedLeavingAtMs = new Map(view.reportedLeavingAtMs)
  for (const [id, ageMs] of Object.entries(ages)) {
    if (ageMs > DEPARTURE_TTL_MS) continue
    const knownMs = reportedLeavingAtMs.get(id) ?? -Infinity
    reportedLeavingAtMs.delete(id)
    reportedLeavingAtMs.set(id, Math.max(knownMs, nowMs - ageMs))
  }
  for (const id of reportedLeavingAtMs.keys()) {
    if (reportedLeavingAtMs.size <= MAX_REPORTED_DEPARTURES) break
    reportedLeavingAtMs.delete(id)
  }
  return { ...view, reportedLeavingAtMs }
}

/** Returns the departures to report to peers: age in milliseconds, by VM id. */
export function departureAges(
  view: MembershipView,
  nowMs: number,
): Record<string, number> {
  const ages = new Map<string, number>()
  for (const [id, atMs] of view.reportedLeavingAtMs)
    if (nowMs - atMs <= DEPARTURE_TTL_MS) ages.set(id, Math.ceil(nowMs - atMs))
  // After DEPARTURE_ANNOUNCE_MS the VM lists of all peers show the departure too.
  for (const [id, atMs] of view.observedLeavingAtMs)
    if (nowMs - atMs <= DEPARTURE_ANNOUNCE_MS) ages.set(id, 0)
  const youngest = [...ages].sort((a, b) => a[1] - b[1])
  return Object.fromEntries(youngest.slice(0, MAX_HEARTBEAT_DEPARTURES))
}

/** Returns the VMs; one is leaving if the list, a peer or flap damping marks it so. */
export function currentVms(view: MembershipView, nowMs: number): VmEntry[] {
  const vms: VmEntry[] = []
  const isReported = (id: string): boolean =>
    nowMs - (view.reportedLeavingAtMs.get(id) ?? -Infinity) <= DEPARTURE_TTL_MS
  for (const [id, vm] of view.listed) {
    const isFlapping =
      vm.role === VmRole.Target &&
      (view.flaps.get(id)?.holdUntilMs ?? -Infinity) > nowMs
    const isLeaving = isFlapping || isReported(id)
    vms.push(isLeaving ? { ...vm, state: MemberState.Leaving } : vm)
  }
  for (const vm of view.departed.values())
    vms.push({ ...vm, state: MemberState.Leaving })
  // Targets known only from reports stay in the view and become live again
  // when the report expires.
  const unlisted = { role: VmRole.Target, address: '', dataCentre: '' }
  for (const id of view.reportedLeavingAtMs.keys())
    if (!view.listed.has(id) && !view.departed.has(id)) {
      const state = isReported(id) ? MemberState.Leaving : MemberState.Live
      vms.push({ id, ...unlisted, state })
    }
  return vms
}
