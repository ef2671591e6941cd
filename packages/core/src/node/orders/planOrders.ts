import type { HeldLease } from '../leases/heldLease.js'
import { type DrainStatus, isDrained } from './drainStatus.js'
import {
  isDestructive,
  isSameState,
  type EngineState,
  weightLoads,
} from './engineState.js'

/** What is to be done with one target. */
export enum OrderActionKind {
  /** Announce to all routers that it gets no new work. */
  Drain = 'drain',
  /** Set its state. */
  Send = 'send',
  /** Nothing until the weight store's rate allows a load. */
  AwaitBudget = 'await-budget',
}

/** A target whose state is part of the configuration. */
export interface ManagedTarget {
  readonly id: string
  readonly service: string
  readonly desired: EngineState
  /** What it said last; undefined when it does not answer. */
  readonly observed?: EngineState
  readonly drain: DrainStatus
  /** When all routers use it again after an order; undefined without one. */
  readonly returnsAtMs?: number
  /** Whether it had the desired state and lost it, as by a late order. */
  readonly strayed?: boolean
}

/** What the plan looks at. */
export interface OrderInput {
  readonly targets: readonly ManagedTarget[]
  readonly lease?: HeldLease
  /** Loads that the weight store allows now. */
  readonly loads: number
  /** Milliseconds of the own monotonic clock. */
  readonly nowMs: number
}

/** One step towards the desired state. */
export interface OrderAction {
  readonly kind: OrderActionKind
  readonly target: string
  /** Loads of weights that the step costs. */
  readonly loads: number
  /** The whole state, so that a repeated order changes nothing. */
  readonly state: EngineState
  readonly token: number
}

/** Share of a service's targets that is emptied at once. */
const DRAIN_SHARE = 0.25

interface DrainPlaces {
  /** Takes a place of the service; false when none is left. */
  take(service: string): boolean
}

function createDrainPlaces(input: OrderInput): DrainPlaces {
  const { targets, nowMs } = input
  const sizes = new Map<string, number>()
  for (const { service } of targets)
    sizes.set(service, (sizes.get(service) ?? 0) + 1)
  const taken = new Map<string, number>()
  for (const { service, drain, returnsAtMs = -Infinity } of targets)
    if (drain.sinceMs !== undefined || returnsAtMs > nowMs)
      taken.set(service, (taken.get(service) ?? 0) + 1)
  return {
    take(service) {
      const places = Math.floor((sizes.get(service) ?? 0) * DRAIN_SHARE)
      const used = taken.get(service) ?? 0
      if (used >= Math.max(1, places)) return false
      taken.set(service, used + 1)
      return true
    },
  }
}

function drainingFirst(targets: readonly ManagedTarget[]): ManagedTarget[] {
  const isDraining = ({ drain }: ManagedTarget): number =>
    drain.sinceMs === undefined ? 1 : 0
  return [...targets].sort((a, b) => isDraining(a) - isDraining(b))
}

/** Plans the next step of each target; none without a valid lease. */
export function planOrders(input: OrderInput): OrderAction[] {
  const { lease, nowMs } = input
  if (!lease || nowMs >= lease.validUntilMs) return []
  const actions: OrderAction[] = []
  let left = input.loads
  const places = createDrainPlaces(input)
  for (const target of drainingFirst(input.targets)) {
    const { id, service, desired, observed, drain, strayed } = target
    if (!observed || isSameState(observed, desired)) continue
    const loads = weightLoads(observed, desired)
    const { token } = lease
    const step = { target: id, loads, state: desired, token }
    if (loads > left) {
      actions.push({ ...step, kind: OrderActionKind.AwaitBudget })
      continue
    }
    const empties = isDestructive(observed, desired)
    // Wrong answers are worse than fewer targets.
    const hasPlace = drain.sinceMs !== undefined || strayed
    if (empties && !hasPlace && !places.take(service)) continue
    left -= loads
    const mustDrain = empties && !isDrained(drain)
    const kind = mustDrain ? OrderActionKind.Drain : OrderActionKind.Send
    actions.push({ ...step, kind })
  }
  return actions
}
