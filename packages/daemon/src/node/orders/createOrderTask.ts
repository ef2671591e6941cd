import {
  type Configuration,
  createLoadBudget,
  DRAIN_PROPAGATION_MS,
  type DrainStatus,
  type EngineState,
  type HeldLease,
  type InFlightSample,
  DEPARTURE_TTL_MS,
  type OrderAction,
  OrderActionKind,
  type ManagedTarget,
  planOrders,
  refillBudget,
  rendezvousOrder,
  isSameState,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { PeerStatus } from '../membership/createMembership.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'
import { MAX_CONCURRENT_ORDERS, ORDER_INTERVAL_MS } from './constants.js'
import type { LeaseHolder } from './createLeaseHolder.js'
import {
  readEngineLoad,
  readEngineState,
  sendEngineState,
} from './engineClient.js'

/** Options for {@link createOrderTask}. */
export interface OrderTaskOptions {
  readonly router: string
  readonly configuration: () => Configuration
  readonly peers: () => readonly PeerStatus[]
  /** Requests in flight from this router, by target. */
  readonly ownInFlight: () => Readonly<Record<string, number>>
  readonly leaseHolder: LeaseHolder
  /** Announces to all routers that targets get no new requests. */
  readonly announceDraining: (targets: readonly string[]) => void
  /** Whether this router reads the log and the log responds. */
  readonly readsLog: () => boolean
  /** Maximum number of weight loads per minute in the fleet. */
  readonly loadsPerMinute: number
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  readonly logger: ConsolaInstance
}

/** Starts reconciling engines with the configuration's desired states. */
export function createOrderTask(options: OrderTaskOptions): Loop {
  const { configuration, peers, leaseHolder, now, logger } = options
  const drainingSinceMs = new Map<string, number>()
  const readmittedAtMs = new Map<string, number>()
  const ordersInFlight = new Set<string>()
  const reachedStates = new Map<string, EngineState>()
  let loadBudget = createLoadBudget(now())
  let heldToken: number | undefined

  function isCandidate(): boolean {
    if (!options.readsLog()) return false
    const logReaders = peers().filter(
      ({ heartbeat }) => heartbeat.configuration?.readsLog,
    )
    const routers = [options.router, ...logReaders.map(({ id }) => id)]
    const weighted = routers.map((id) => ({ id, weight: 1 }))
    return rendezvousOrder('orders', weighted)[0]?.id === options.router
  }

  function collectInFlightSamples(target: string): InFlightSample[] {
    const own = {
      inFlight: options.ownInFlight()[target] ?? 0,
      atMs: now(),
    }
    const others = peers().map(({ heartbeat, ageMs }) => ({
      inFlight: heartbeat.digest.targets[target] ?? 0,
      atMs: now() - ageMs,
    }))
    return [own, ...others]
  }

  // Reads the engine's load directly: a router need not poll every target, but
  // the lease holder needs the load of those that drain.
  async function readDrainStatus(
    target: string,
    address: string,
  ): Promise<DrainStatus> {
    const sinceMs = drainingSinceMs.get(target)
    if (sinceMs === undefined) return { routers: [] }
    const atMs = now()
    const inFlight = await readEngineLoad(address)
    const report = inFlight === undefined ? undefined : { inFlight, atMs }
    return { sinceMs, routers: collectInFlightSamples(target), target: report }
  }

  function detectDrift(
    id: string,
    desired: EngineState,
    observed: EngineState | undefined,
  ): boolean {
    const last = reachedStates.get(id)
    if (observed && isSameState(observed, desired))
      reachedStates.set(id, desired)
    const wasReached = last !== undefined && isSameState(last, desired)
    return (
      wasReached && observed !== undefined && !isSameState(observed, desired)
    )
  }

  async function observeTargets(): Promise<ManagedTarget[]> {
    const configured = Object.entries(configuration().targets)
    const observe = async ([id, target]: (typeof configured)[number]): Promise<
      ManagedTarget | undefined
    > => {
      const { address, desired, service } = target
      if (!desired) return undefined
      const observed = await readEngineState(address)
      const drain = await readDrainStatus(id, address)
      return {
        id,
        service,
        desired,
        observed,
        drain,
        readmittedAtMs: readmittedAtMs.get(id),
        drifted: detectDrift(id, desired, observed),
      }
    }
    const targets = await Promise.all(configured.map(observe))
    return targets.filter((target) => target !== undefined)
  }

  async function sendOrder(action: OrderAction): Promise<void> {
    const address = configuration().targets[action.target]?.address
    // Last check of the lease against log and clock before the order is sent.
    const currentLease = await leaseHolder.confirm()
    if (address === undefined || currentLease?.token !== action.token) return
    logger.info(
      `Ordering model ${action.state.model} on target ${action.target}.`,
    )
    await sendEngineState(address, action.token, action.state)
  }

  function startOrder(action: OrderAction): void {
    if (ordersInFlight.has(action.target)) return
    if (ordersInFlight.size >= MAX_CONCURRENT_ORDERS) return
    loadBudget = {
      ...loadBudget,
      available: loadBudget.available - action.loads,
    }
    ordersInFlight.add(action.target)
    void sendOrder(action).finally(() => ordersInFlight.delete(action.target))
  }

  function updateDraining(actions: readonly OrderAction[]): void {
    const toDrain = new Set(actions.map(({ target }) => target))
    for (const target of toDrain)
      if (!drainingSinceMs.has(target)) drainingSinceMs.set(target, now())
    for (const target of drainingSinceMs.keys()) {
      if (toDrain.has(target) || ordersInFlight.has(target)) continue
      drainingSinceMs.delete(target)
      readmittedAtMs.set(
        target,
        now() + DEPARTURE_TTL_MS + DRAIN_PROPAGATION_MS,
      )
    }
    options.announceDraining([...drainingSinceMs.keys()])
  }

  function refillLoadBudget(currentLease: HeldLease): void {
    if (currentLease.token !== heldToken) loadBudget = createLoadBudget(now())
    heldToken = currentLease.token
    loadBudget = refillBudget(loadBudget, options.loadsPerMinute, now())
  }

  async function runRound(): Promise<void> {
    const targets = Object.values(configuration().targets)
    if (!targets.some(({ desired }) => desired) || !isCandidate()) return
    const currentLease = await leaseHolder.acquireOrRenew()
    if (!currentLease) return
    refillLoadBudget(currentLease)
    const actions = planOrders({
      targets: await observeTargets(),
      lease: currentLease,
      loads: loadBudget.available,
      nowMs: now(),
    })
    const executable = actions.filter(
      ({ kind }) => kind !== OrderActionKind.AwaitBudget,
    )
    updateDraining(executable)
    for (const action of executable)
      if (action.kind === OrderActionKind.Send) startOrder(action)
  }

  return createLoop(runRound, ORDER_INTERVAL_MS, (error) => {
    logger.error(error)
  })
}
