import {
  type CollectRequest,
  type CollectResponse,
  createCreditPool,
  createGroupCoordinator,
  createGroupTargetSelector,
  createFallbackQuota,
  type GrantRequest,
  type GrantResponse,
  COORDINATOR_RETRY_MS,
  type LedgerContext,
  type TargetSelection,
  type SelectionContext,
  type PlacementRequest,
  type TargetGroup,
} from '@auburnbay/core'
import type { PeerClient } from '../peers/createPeerClient.js'
import type { FleetView } from './createFleetView.js'

/** Options for {@link createGroupAllocator}. */
export interface GroupAllocatorOptions {
  readonly group: TargetGroup
  readonly router: string
  readonly incarnation: string
  /** Milliseconds until a request falls back to the fallback quota. */
  readonly coordinatorTimeoutMs: number
  /** Digest age in milliseconds at which the fallback bound is the mean. */
  readonly maxAgeMs: number
  readonly view: FleetView
  readonly client: Pick<PeerClient, 'grant' | 'collect'>
  readonly addressOf: (router: string) => string | undefined
  readonly now: () => number
  readonly maxLoadFactor: () => number
  /** Mean load per unit of weight; undefined for a service of one group. */
  readonly serviceMean: () => number | undefined
  readonly eligible: (targetId: string) => boolean
  /** Requests in flight that the target last reported. */
  readonly reportedLoad: (targetId: string) => number | undefined
  /** Target whose cache has a chat according to its cache events. */
  readonly cachedOn: (key: string) => string | undefined
  readonly onSelected: (selection: TargetSelection) => void
}

/** Load of one group according to the digests of all routers. */
export interface GroupLoad {
  /** Requests in flight by target, from all routers. */
  readonly inFlight: readonly number[]
  /** Age of the oldest digest in milliseconds. */
  readonly ageMs: number
}

/** Acquires slots of one group from its coordinator, which may be this router. */
export interface GroupAllocator {
  readonly group: TargetGroup
  /** Whether this router currently grants slots of the group. */
  readonly isCoordinating: boolean
  /** Monotonic time in milliseconds of the last grant request handled here. */
  readonly lastRequestAtMs: number
  /** Selects a target and acquires a slot on it; index -1 means none. */
  selectTarget(request: PlacementRequest): Promise<TargetSelection>
  /** Counts a request that is already in flight. */
  recordInFlight(index: number): void
  release(index: number): void
  handleGrantRequest(request: GrantRequest): GrantResponse
  handleCollectRequest(request: CollectRequest): CollectResponse
  /** Applies the current membership view and sends pending messages. */
  update(): void
  /** Recomputes the fallback quota from new digests. */
  refreshQuota(load: GroupLoad): void
}

/** Creates the allocator of one group. */
export function createGroupAllocator(
  options: GroupAllocatorOptions,
): GroupAllocator {
  const { group, router, view, client, now, coordinatorTimeoutMs } = options
  const creditPool = createCreditPool(options)
  const fallbackQuota = createFallbackQuota(group, router)
  const selector = createGroupTargetSelector({
    group,
    creditPool,
    fallbackQuota,
    coordinatorTimeoutMs,
  })
  const coordinator = createGroupCoordinator({ group, router })
  const waiting = new Map<number, (selection: TargetSelection) => void>()
  let lastRequestId = 0
  let lastRequestAtMs = -Infinity

  function eligible(index: number): boolean {
    const id = group.members[index]?.id
    return id !== undefined && options.eligible(id)
  }

  function context(): SelectionContext {
    const coordinatorId = view.coordinatorOf(group.id)
    return {
      nowMs: now(),
      hasCoordinator: coordinatorId !== undefined,
      isCoordinator: coordinatorId === router,
      eligible,
    }
  }

  function ledgerContext(): LedgerContext {
    return {
      nowMs: now(),
      maxLoadFactor: options.maxLoadFactor(),
      serviceMean: options.serviceMean(),
      eligible,
      reported: (index) => options.reportedLoad(group.members[index]?.id ?? ''),
    }
  }

  function deliver(selections: readonly TargetSelection[]): void {
    for (const selection of selections) {
      waiting.get(selection.requestId)?.(selection)
      waiting.delete(selection.requestId)
    }
  }

  /** Adds hints from cache events to the requests that have none. */
  function withHints(request: GrantRequest): GrantRequest {
    const wants = request.wants.map((want) => {
      if (want.hint !== undefined) return want
      const id = options.cachedOn(want.key)
      const index = group.members.findIndex((member) => member.id === id)
      return index < 0 ? want : { ...want, hint: index }
    })
    return { ...request, wants }
  }

  function handleGrantRequest(request: GrantRequest): GrantResponse {
    if (request.wants.length > 0) lastRequestAtMs = now()
    return coordinator.handleGrantRequest(withHints(request), ledgerContext())
  }

  function sendPending(): void {
    const request = selector.nextGrantRequest(context())
    if (!request) return
    const { sequence } = request
    const to = view.coordinatorOf(group.id)
    if (to === router) {
      const response = handleGrantRequest(request)
      deliver(selector.applyGrantResponse(sequence, response, context()))
      scheduleSend()
      return
    }
    const address = to === undefined ? undefined : options.addressOf(to)
    if (address === undefined) {
      deliver(selector.handleGrantFailure(sequence, context()))
      return
    }
    client.grant(address, request).then(
      (response) => {
        deliver(selector.applyGrantResponse(sequence, response, context()))
        sendPending()
        scheduleSend()
      },
      () => {
        deliver(selector.handleGrantFailure(sequence, context()))
      },
    )
  }

  function scheduleSend(): void {
    if (waiting.size > 0) setTimeout(sendPending, 2 * COORDINATOR_RETRY_MS)
  }

  function expireWaiting(): void {
    deliver(selector.expireWaiting(context()))
    const next = selector.nextExpiryMs
    if (next !== undefined) setTimeout(expireWaiting, Math.max(1, next - now()))
  }

  function collectFrom(to: string, request: CollectRequest): void {
    if (to === router) {
      const response = creditPool.handleCollectRequest(request)
      coordinator.applyCollectResponse(response, now())
      return
    }
    const address = options.addressOf(to)
    if (address === undefined) return
    client.collect(address, request).then(
      (response) => {
        coordinator.applyCollectResponse(response, now())
      },
      () => undefined,
    )
  }

  return {
    group,
    get isCoordinating() {
      return coordinator.granting
    },
    get lastRequestAtMs() {
      return lastRequestAtMs
    },
    selectTarget(request) {
      lastRequestId += 1
      const requestId = lastRequestId
      return new Promise((resolve) => {
        const onSelection = (selection: TargetSelection): void => {
          options.onSelected(selection)
          resolve(selection)
        }
        const selection = selector.select(requestId, request, context())
        if (selection) {
          onSelection(selection)
          return
        }
        waiting.set(requestId, onSelection)
        sendPending()
        if (waiting.has(requestId))
          setTimeout(expireWaiting, coordinatorTimeoutMs)
      })
    },
    recordInFlight: (index) => {
      creditPool.addInFlight(index)
    },
    release(index) {
      selector.release(index)
      sendPending()
    },
    handleGrantRequest,
    handleCollectRequest: (request) => creditPool.handleCollectRequest(request),
    update() {
      const requests = coordinator.update({
        coordinator: view.coordinatorOf(group.id),
        routers: view.routers(),
        epoch: creditPool.epoch,
        nowMs: now(),
      })
      for (const { to, request } of requests) collectFrom(to, request)
      sendPending()
    },
    refreshQuota({ inFlight, ageMs }) {
      fallbackQuota.refresh({
        routers: view.routers(),
        knownLoads: inFlight,
        ageMs,
        maxAgeMs: options.maxAgeMs,
        maxLoadFactor: options.maxLoadFactor(),
        eligible,
      })
    },
  }
}
