import {
  type OutgoingCollectRequest,
  type GrantRequest,
  groupTargets,
  COORDINATOR_RETRY_MS,
  type TargetSelection,
  type TargetGroup,
} from '@auburnbay/core'
import type { Arrival } from '../createTrace.js'
import type {
  SimulatedFleet,
  CreateRoutingStrategy,
} from '../routingStrategy.js'
import { createMembershipView } from './createMembershipView.js'
import {
  createSimulatedRouter,
  type SimulatedRouter,
} from './createSimulatedRouter.js'
import { startDigests } from './startDigests.js'
import { type GrantTally, recordExchange } from './createGrantTally.js'

/** Options for {@link grantStrategy}. */
export interface GrantStrategyOptions {
  /** Whether callers send the hint of the last response. @default true */
  readonly hints?: boolean
  /** Credits granted in advance to one router on one target. */
  readonly creditBatchSize?: number
  /** Period in which no coordinator responds. */
  readonly coordinatorOutage?: {
    readonly fromMs: number
    readonly toMs: number
  }
  /** Whether routers apply flap damping to targets. @default false */
  readonly dampFlaps?: boolean
  /** One-way latency between routers in milliseconds. @default 0.5 */
  readonly latencyMs?: number
}

/** Longest wait of a request for the coordinator. */
const COORDINATOR_TIMEOUT_MS = 5
const TICK_INTERVAL_MS = 200
/** Delay before a request that got no slot is retried. */
const RETRY_DELAY_MS = 20

/**
 * The routers' own strategy: grants and credits of a coordinator, fallback
 * quotas while it does not respond. Counts its costs in `tally`.
 */
export function grantStrategy(
  tally: GrantTally,
  options: GrantStrategyOptions = {},
): CreateRoutingStrategy {
  return (fleet) => createGrantStrategy(fleet, tally, options)
}

function createGroup(ids: readonly string[]): TargetGroup {
  const targets = ids.map((id) => ({ id, weight: 1 }))
  const [group] = groupTargets('model', targets)
  if (!group) throw new Error('a group needs targets')
  return group
}

function createGrantStrategy(
  fleet: SimulatedFleet,
  tally: GrantTally,
  options: GrantStrategyOptions,
) {
  const {
    hints = true,
    creditBatchSize,
    coordinatorOutage,
    dampFlaps = false,
    latencyMs = 0.5,
  } = options
  const ids = Array.from(
    { length: fleet.targets },
    (_, index) => `target-${index}`,
  )
  const group = createGroup(ids)
  const members = group.members.map(({ id }) => ids.indexOf(id))
  const pendingArrivals = new Map<number, Arrival>()
  const indexOf = new Map(members.map((target, index) => [target, index]))

  const routers = Array.from({ length: fleet.routers }, (_, index) =>
    createSimulatedRouter(
      group,
      index,
      COORDINATOR_TIMEOUT_MS,
      creditBatchSize,
    ),
  )

  const view = createMembershipView({
    fleet,
    group,
    routers,
    members,
    dampFlaps,
  })

  function isCoordinatorDown(): boolean {
    if (coordinatorOutage === undefined) return false
    return (
      fleet.nowMs >= coordinatorOutage.fromMs &&
      fleet.nowMs < coordinatorOutage.toMs
    )
  }

  function applySelections(selections: readonly TargetSelection[]): void {
    for (const { requestId, index, source, waitedMs } of selections) {
      const arrival = pendingArrivals.get(requestId)
      pendingArrivals.delete(requestId)
      tally.sources[source] += 1
      tally.longestWaitMs = Math.max(tally.longestWaitMs, waitedMs)
      if (!arrival) continue
      if (index >= 0) fleet.startRequest(arrival, members[index] ?? 0)
      else fleet.schedule(RETRY_DELAY_MS, onArrival.bind(undefined, arrival))
    }
  }

  function deliverGrantRequest(
    router: SimulatedRouter,
    coordinator: SimulatedRouter,
    request: GrantRequest,
  ): void {
    if (isCoordinatorDown() || !view.isAlive(coordinator)) return
    const response = coordinator.coordinator.handleGrantRequest(
      request,
      view.ledgerContext(coordinator),
    )
    const applyResponse = (): void => {
      applySelections(
        router.targetSelector.applyGrantResponse(
          request.sequence,
          response,
          view.selectionContext(router),
        ),
      )
      sendGrantRequest(router)
      fleet.schedule(
        COORDINATOR_RETRY_MS,
        sendGrantRequest.bind(undefined, router),
      )
    }
    if (coordinator === router) applyResponse()
    else {
      recordExchange(tally, [router, coordinator], request, response)
      fleet.schedule(latencyMs, applyResponse)
    }
  }

  function sendGrantRequest(router: SimulatedRouter): void {
    const coordinator = view.coordinatorOf(router)
    const request =
      coordinator &&
      router.targetSelector.nextGrantRequest(view.selectionContext(router))
    if (!request) return
    if (coordinator === router)
      deliverGrantRequest(router, coordinator, request)
    else
      fleet.schedule(
        latencyMs,
        deliverGrantRequest.bind(undefined, router, coordinator, request),
      )
    fleet.schedule(COORDINATOR_TIMEOUT_MS, () => {
      applySelections(
        router.targetSelector.expireWaiting(view.selectionContext(router)),
      )
      applySelections(
        router.targetSelector.handleGrantFailure(
          request.sequence,
          view.selectionContext(router),
        ),
      )
    })
  }

  function sendCollectRequest(
    router: SimulatedRouter,
    { to, request }: OutgoingCollectRequest,
  ): void {
    const peer = routers.find(({ id }) => id === to)
    if (!peer || !view.isAlive(peer) || isCoordinatorDown()) return
    fleet.schedule(peer === router ? 0 : latencyMs, () => {
      const response = peer.creditPool.handleCollectRequest(request)
      fleet.schedule(peer === router ? 0 : latencyMs, () => {
        router.coordinator.applyCollectResponse(response, fleet.nowMs)
      })
    })
  }

  function tick(router: SimulatedRouter): void {
    if (!view.isAlive(router)) return
    const liveIds = view.liveRouterIds(router)
    const { epoch } = router.creditPool
    for (const call of router.coordinator.update({
      coordinator: view.coordinatorOf(router)?.id,
      routers: liveIds,
      epoch,
      nowMs: fleet.nowMs,
    }))
      sendCollectRequest(router, call)
    sendGrantRequest(router)
    fleet.schedule(TICK_INTERVAL_MS, () => {
      tick(router)
    })
  }

  startDigests({ fleet, routers, members, view })
  for (const router of routers)
    fleet.schedule((TICK_INTERVAL_MS * router.index) / routers.length, () => {
      tick(router)
    })

  function onArrival(arrival: Arrival): void {
    const router = routers[arrival.router]
    if (!router) return
    pendingArrivals.set(arrival.id, arrival)
    const hintedTarget = hints ? fleet.callerHint(arrival) : undefined
    const hint =
      hintedTarget === undefined ? undefined : indexOf.get(hintedTarget)
    const placement = { key: arrival.chat, hint, exclude: [] }
    const selection = router.targetSelector.select(
      arrival.id,
      placement,
      view.selectionContext(router),
    )
    if (selection) applySelections([selection])
    else {
      sendGrantRequest(router)
      fleet.schedule(COORDINATOR_TIMEOUT_MS, () => {
        applySelections(
          router.targetSelector.expireWaiting(view.selectionContext(router)),
        )
      })
    }
  }

  return {
    onArrival,
    onRequestEnd(arrival: Arrival, target: number): void {
      const router = routers[arrival.router]
      if (!router) return
      router.targetSelector.release(indexOf.get(target) ?? -1)
      sendGrantRequest(router)
    },
  }
}
