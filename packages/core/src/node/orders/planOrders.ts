import type { HeldLease } from '../leases/heldLease.js'
import { type DrainStatus, isDrained } from './drainStatus.js'
import {
  isDestructive,
  isSameState,
  type EngineState,
  countWeightLoads,
} from './engineState.js'

/** Kind of step for one target. */
export enum OrderActionKind {
  /** Announce to all routers that the target gets no new requests. */
  Drain = 'drain',
  /** Send the desired state to the target. */
  Send = 'send',
  /** Wait until the load budget allows the weight loads. */
  AwaitBudget = 'await-budget',
}

/** Target with a desired state in the configuration. */
export interface ManagedTarget {
  readonly id: string
  readonly service: string
  readonly desired: EngineState
  /** State that the target reported; undefined if it does not respond. */
  readonly observed?: EngineState
  readonly drain: DrainStatus
  /** When all routers use the target again after a drain; undefined without one. */
  readonly readmittedAtMs?: number
  /** Whether the target had the desired state and lost it, e.g. by a late order. */
  readonly drifted?: boolean
}

/** Options for {@link planOrders}. */
export interface PlanOrdersOptions {
  readonly targets: readonly ManagedTarget[]
  readonly lease?: HeldLease
  /** Weight loads that may start now. */
  readonly loads: number
  /** Milliseconds of the local monotonic clock. */
  readonly nowMs: number
}

/** One step towards the desired state. */
export interface OrderAction {
  readonly kind: OrderActionKind
  readonly target: string
  /** Weight loads that the step needs. */
  readonly loads: number
  /** Complete desired state, so that a repeated order is idempotent. */
  readonly state: EngineState
  readonly token: number
}

/** Fraction of the targets of a service that may drain at once. */
const MAX_DRAINING_FRACTION = 0.25

interface DrainSlots {
  /** Takes a drain slot of the service; returns false if none is left. */
  tryAcquire(service: string): boolean
}

function createDrainSlots(options: PlanOrdersOptions): DrainSlots {
  const { targets, nowMs } = options
  const sizes = new Map<string, number>()
  for (const { service } of targets)
    sizes.set(service, (sizes.get(service) ?? 0) + 1)
  const taken = new Map<string, number>()
  for (const { service, drain, readmittedAtMs = -Infinity } of targets)
    if (drain.sinceMs !== undefined || readmittedAtMs > nowMs)
      taken.set(service, (taken.get(service) ?? 0) + 1)
  return {
    tryAcquire(service) {
      const limit = Math.floor(
        (sizes.get(service) ?? 0) * MAX_DRAINING_FRACTION,
      )
      const used = taken.get(service) ?? 0
      if (used >= Math.max(1, limit)) return false
      taken.set(service, used + 1)
      return true
    },
  }
}

function sortDrainingFirst(targets: readonly ManagedTarget[]): ManagedTarget[] {
  const sortKey = ({ drain }: ManagedTarget): number =>
    drain.sinceMs === undefined ? 1 : 0
  return [...targets].sort((a, b) => sortKey(a) - sortKey(b))
}

/** Plans the next step of each target; returns none without a valid lease. */
export function planOrders(options: PlanOrdersOptions): OrderAction[] {
  const { lease, nowMs } = options
  if (!lease || nowMs >= lease.validUntilMs) return []
  const actions: OrderAction[] = []
  let remainingLoads = options.loads
  const slots = createDrainSlots(options)
  for (const target of sortDrainingFirst(options.targets)) {
    const { id, service, desired, observed, drain, drifted } = target
    if (!observed || isSameState(observed, desired)) continue
    const loads = countWeightLoads(observed, desired)
    const { token } = lease
    const step = { target: id, loads, state: desired, token }
    if (loads > remainingLoads) {
      actions.push({ ...step, kind: OrderActionKind.AwaitBudget })
      continue
    }
    const needsDrain = isDestructive(observed, desired)
    // A draining target has its slot already. A drifted one drains without a
    // slot, since wrong responses are worse than fewer targets.
    const needsNoSlot = drain.sinceMs !== undefined || drifted
    if (needsDrain && !needsNoSlot && !slots.tryAcquire(service)) continue
    remainingLoads -= loads
    const mustDrain = needsDrain && !isDrained(drain)
    const kind = mustDrain ? OrderActionKind.Drain : OrderActionKind.Send
    actions.push({ ...step, kind })
  }
  return actions
}
