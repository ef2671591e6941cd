import {
  DEPARTED_MAX_IDS,
  FLAP_HOLD_MS,
  FLAP_MAX_HOLD_MS,
  FLAP_MEMORY_MS,
  HEARD_MAX_IDS,
  LEAVING_ANNOUNCE_MS,
  LEAVING_MAX_IDS,
  LEAVING_TTL_MS,
} from './constants.js'
import { MemberState } from './memberState.js'
import { type VmEntry, VmRole } from './vmEntry.js'

interface Flaps {
  readonly count: number
  /** Until when the VM counts as leaving. */
  readonly holdUntilMs: number
  readonly changedAtMs: number
}

/** What a router knows of the VMs, from the list and from its peers. */
export interface MembershipView {
  readonly listed: ReadonlyMap<string, VmEntry>
  /** Targets that were listed and are no longer. */
  readonly departed: ReadonlyMap<string, VmEntry>
  /** VMs kept although the list misses them, as too many vanished at once. */
  readonly held: readonly string[]
  readonly flaps: ReadonlyMap<string, Flaps>
  /** When this router first saw a VM leave, by id. */
  readonly leftAtMs: ReadonlyMap<string, number>
  /** When some router saw a VM leave, by id; milliseconds of the own clock. */
  readonly heardLeaving: ReadonlyMap<string, number>
}

/** Returns the view before the first list. */
export function createMembershipView(): MembershipView {
  return {
    listed: new Map(),
    departed: new Map(),
    held: [],
    flaps: new Map(),
    leftAtMs: new Map(),
    heardLeaving: new Map(),
  }
}

function byId(list: readonly VmEntry[]): Map<string, VmEntry> {
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
): Map<string, Flaps> {
  const flaps = new Map<string, Flaps>()
  for (const [id, entry] of view.flaps)
    if (nowMs - entry.changedAtMs < FLAP_MEMORY_MS) flaps.set(id, entry)
  for (const [id, vm] of next) {
    const isLive = vm.state === MemberState.Live
    const isKnown = view.listed.has(id) || view.departed.has(id)
    if (!isLive || !isKnown || wasLive(view, id)) continue
    const count = (flaps.get(id)?.count ?? 0) + 1
    const holdMs = Math.min(FLAP_HOLD_MS * 2 ** (count - 1), FLAP_MAX_HOLD_MS)
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
    if (departed.size <= DEPARTED_MAX_IDS) break
    departed.delete(id)
  }
  return departed
}

function findLeft(
  view: MembershipView,
  next: ReadonlyMap<string, VmEntry>,
  departed: ReadonlyMap<string, VmEntry>,
  nowMs: number,
): Map<string, number> {
  const left = new Map<string, number>()
  for (const [id, vm] of next)
    if (vm.state === MemberState.Leaving)
      left.set(id, view.leftAtMs.get(id) ?? nowMs)
  for (const id of departed.keys()) left.set(id, view.leftAtMs.get(id) ?? nowMs)
  return left
}

/** Takes in a list; VMs of a role of which over half vanish at once are held. */
export function applyVmList(
  view: MembershipView,
  list: readonly VmEntry[],
  nowMs: number,
): MembershipView {
  const next = byId(list)
  const held = findHeld(view, next)
  for (const vm of held) next.set(vm.id, vm)
  const departed = findDeparted(view, next)
  return {
    ...view,
    listed: next,
    departed,
    leftAtMs: findLeft(view, next, departed, nowMs),
    held: held.map(({ id }) => id),
    flaps: countFlaps(view, next, nowMs),
  }
}

/** Takes in that some router saw VMs leave, `ages` milliseconds ago by id. */
export function applyReportedDepartures(
  view: MembershipView,
  ages: Readonly<Record<string, number>>,
  nowMs: number,
): MembershipView {
  const heardLeaving = new Map(view.heardLeaving)
  for (const [id, ageMs] of Object.entries(ages)) {
    if (ageMs > LEAVING_TTL_MS) continue
    const knownMs = heardLeaving.get(id) ?? -Infinity
    heardLeaving.delete(id)
    heardLeaving.set(id, Math.max(knownMs, nowMs - ageMs))
  }
  for (const id of heardLeaving.keys()) {
    if (heardLeaving.size <= HEARD_MAX_IDS) break
    heardLeaving.delete(id)
  }
  return { ...view, heardLeaving }
}

/** Returns the VMs that left or are leaving, with the age of the knowledge. */
export function departureAges(
  view: MembershipView,
  nowMs: number,
): Record<string, number> {
  const ages = new Map<string, number>()
  for (const [id, atMs] of view.heardLeaving)
    if (nowMs - atMs <= LEAVING_TTL_MS) ages.set(id, Math.ceil(nowMs - atMs))
  // Later the lists of the others show it as well.
  for (const [id, atMs] of view.leftAtMs)
    if (nowMs - atMs <= LEAVING_ANNOUNCE_MS) ages.set(id, 0)
  const youngest = [...ages].sort((a, b) => a[1] - b[1])
  return Object.fromEntries(youngest.slice(0, LEAVING_MAX_IDS))
}

/** Returns the VMs; one that any source calls leaving is leaving. */
export function currentVms(view: MembershipView, nowMs: number): VmEntry[] {
  const vms: VmEntry[] = []
  const isHeard = (id: string): boolean =>
    nowMs - (view.heardLeaving.get(id) ?? -Infinity) <= LEAVING_TTL_MS
  for (const [id, vm] of view.listed) {
    const isFlapping =
      vm.role === VmRole.Target &&
      (view.flaps.get(id)?.holdUntilMs ?? -Infinity) > nowMs
    const isLeaving = isFlapping || isHeard(id)
    vms.push(isLeaving ? { ...vm, state: MemberState.Leaving } : vm)
  }
  const state = MemberState.Leaving
  for (const vm of view.departed.values()) vms.push({ ...vm, state })
  // Once shown, a target that no list names stays and is live again.
  const unlisted = { role: VmRole.Target, address: '', dataCentre: '' }
  for (const id of view.heardLeaving.keys())
    if (!view.listed.has(id) && !view.departed.has(id)) {
      const heard = isHeard(id) ? MemberState.Leaving : MemberState.Live
      vms.push({ id, ...unlisted, state: heard })
    }
  return vms
}
