import {
  type Configuration,
  createLoadBudget,
  DRAIN_PROPAGATION_MS,
  type DrainStatus,
  type EngineState,
  type HeldLease,
  type InFlightSample,
  LEAVING_TTL_MS,
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
import { ORDER_ROUND_MS, ORDERS_AT_ONCE } from './constants.js'
import type { LeaseKeeper } from './createLeaseKeeper.js'
import {
  readEngineLoad,
  readEngineState,
  sendEngineState,
} from './engineClient.js'

/** What sending orders works with. */
export interface OrderTaskOptions {
  readonly router: string
  readonly configuration: () => Configuration
  readonly peers: () => readonly PeerStatus[]
  readonly ownInFlight: () => Readonly<Record<string, number>>
  readonly lease: LeaseKeeper
  /** Tells all routers that targets get no new work. */
  readonly announce: (targets: readonly string[]) => void
  /** Whether this router reads the log and it answers. */
  readonly readsLog: () => boolean
  readonly loadsPerMinute: number
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  readonly logger: ConsolaInstance
}

/** Starts bringing engines to the state that the configuration orders. */
export function createOrderTask(options: OrderTaskOptions): Loop {
  const { configuration, peers, lease, now, logger } = options
  const drainingSince = new Map<string, number>()
  const returnsAtMs = new Map<string, number>()
  const sending = new Set<string>()
  const reached = new Map<string, EngineState>()
  let budget = createLoadBudget(now())
  let heldToken: number | undefined

  function isCandidate(): boolean {
    if (!options.readsLog()) return false
    const reading = peers().filter(
      ({ heartbeat }) => heartbeat.configuration?.readsLog,
    )
    const routers = [options.router, ...reading.map(({ id }) => id)]
    const weighted = routers.map((id) => ({ id, weight: 1 }))
    return rendezvousOrder('orders', weighted)[0]?.id === options.router
  }

  function sightings(target: string): InFlightSample[] {
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

  // A router need not poll the load of every target, but the holder must know.
  async function evidence(
    target: string,
    address: string,
  ): Promise<DrainStatus> {
    const sinceMs = drainingSince.get(target)
    if (sinceMs === undefined) return { routers: [] }
    const atMs = now()
    const inFlight = await readEngineLoad(address)
    const report = inFlight === undefined ? undefined : { inFlight, atMs }
    return { sinceMs, routers: sightings(target), target: report }
  }

  function hasStrayed(
    id: string,
    desired: EngineState,
    observed: EngineState | undefined,
  ): boolean {
    const last = reached.get(id)
    if (observed && isSameState(observed, desired)) reached.set(id, desired)
    const wasReached = last !== undefined && isSameState(last, desired)
    return (
      wasReached && observed !== undefined && !isSameState(observed, desired)
    )
  }

  async function observe(): Promise<ManagedTarget[]> {
    const ordered = Object.entries(configuration().targets)
    const found = ordered.map(async ([id, target]) => {
      const { address, desired, service } = target
      if (!desired) return undefined
      const observed = await readEngineState(address)
      const drain = await evidence(id, address)
      const returns = returnsAtMs.get(id)
      const strayed = hasStrayed(id, desired, observed)
      const place = { id, service, drain, returnsAtMs: returns }
      return { ...place, desired, observed, strayed }
    })
    const targets = await Promise.all(found)
    return targets.filter((target) => target !== undefined)
  }

  async function send(action: OrderAction): Promise<void> {
    const address = configuration().targets[action.target]?.address
    // The last look at log and clock before anything leaves this router.
    const held = await lease.confirm()
    if (address === undefined || held?.token !== action.token) return
    logger.info(`Ordering ${action.state.model} on ${action.target}.`)
    await sendEngineState(address, action.token, action.state)
  }

  function start(action: OrderAction): void {
    if (sending.has(action.target)) return
    if (sending.size >= ORDERS_AT_ONCE) return
    budget = { ...budget, available: budget.available - action.loads }
    sending.add(action.target)
    void send(action).finally(() => sending.delete(action.target))
  }

  function drain(actions: readonly OrderAction[]): void {
    const wanted = new Set(actions.map(({ target }) => target))
    for (const target of wanted)
      if (!drainingSince.has(target)) drainingSince.set(target, now())
    for (const target of drainingSince.keys()) {
      if (wanted.has(target) || sending.has(target)) continue
      drainingSince.delete(target)
      returnsAtMs.set(target, now() + LEAVING_TTL_MS + DRAIN_PROPAGATION_MS)
    }
    options.announce([...drainingSince.keys()])
  }

  function follow(held: HeldLease): void {
    if (held.token !== heldToken) budget = createLoadBudget(now())
    heldToken = held.token
    budget = refillBudget(budget, options.loadsPerMinute, now())
  }

  async function round(): Promise<void> {
    const targets = Object.values(configuration().targets)
    if (!targets.some(({ desired }) => desired) || !isCandidate()) return
    const held = await lease.keep()
    if (!held) return
    follow(held)
    const actions = planOrders({
      targets: await observe(),
      lease: held,
      loads: budget.available,
      nowMs: now(),
    })
    const changing = actions.filter(
      ({ kind }) => kind !== OrderActionKind.AwaitBudget,
    )
    drain(changing)
    for (const action of changing)
      if (action.kind === OrderActionKind.Send) start(action)
  }

  return createLoop(round, ORDER_ROUND_MS, (error) => {
    logger.error(error)
  })
}
