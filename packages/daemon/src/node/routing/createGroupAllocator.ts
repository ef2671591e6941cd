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

/** What a group's task works with. */
export interface GroupAllocatorOptions {
  readonly group: TargetGroup
  readonly router: string
  readonly incarnation: string
  readonly coordinatorTimeoutMs: number
  readonly maxAgeMs: number
  readonly view: FleetView
  readonly client: Pick<PeerClient, 'grant' | 'collect'>
  readonly addressOf: (router: string) => string | undefined
  readonly now: () => number
  readonly maxLoadFactor: () => number
  readonly serviceMean: () => number | undefined
  readonly eligible: (targetId: string) => boolean
  readonly reportedLoad: (targetId: string) => number | undefined
  /** Target that holds a chat, as far as the home knows. */
  readonly cachedOn: (key: string) => string | undefined
  /** Called for each decision. */
  readonly onAllocated: (placed: TargetSelection) => void
}

/** A digest of all routers for one group. */
export interface GroupLoad {
  /** Requests in flight by target, from all routers. */
  readonly inFlight: readonly number[]
  readonly ageMs: number
}

/** One group on one router: asks the home, or is the home. */
export interface GroupAllocator {
  readonly group: TargetGroup
  /** Whether this router grants places on the group now. */
  readonly isCoordinating: boolean
  /** When a place on the group was last asked for here, on the monotonic clock. */
  readonly lastRequestAtMs: number
  allocate(want: PlacementRequest): Promise<TargetSelection>
  /** Counts a request that is already in flight. */
  recordInFlight(index: number): void
  release(index: number): void
  onGrant(ask: GrantRequest): GrantResponse
  onCollect(ask: CollectRequest): CollectResponse
  /** Takes in the view and sends what is due. */
  update(): void
  refreshQuota(digest: GroupLoad): void
}

/** Creates the task of one group. */
export function createGroupAllocator(
  options: GroupAllocatorOptions,
): GroupAllocator {
  const { group, router, view, client, now } = options
  const holder = createCreditPool(options)
  const shares = createFallbackQuota(group, router)
  const { coordinatorTimeoutMs: homeLimitMs } = options
  const placer = createGroupTargetSelector({
    group,
    creditPool: holder,
    fallbackQuota: shares,
    coordinatorTimeoutMs: homeLimitMs,
  })
  const home = createGroupCoordinator({ group, router })
  const waiting = new Map<number, (placed: TargetSelection) => void>()
  let lastRequest = 0
  let askedAtMs = -Infinity

  function eligible(index: number): boolean {
    const id = group.members[index]?.id
    return id !== undefined && options.eligible(id)
  }

  function placerView(): SelectionContext {
    const homeId = view.coordinatorOf(group.id)
    const isHome = homeId === router
    return {
      nowMs: now(),
      hasCoordinator: homeId !== undefined,
      isCoordinator: isHome,
      eligible,
    }
  }

  function ledgerView(): LedgerContext {
    return {
      nowMs: now(),
      maxLoadFactor: options.maxLoadFactor(),
      serviceMean: options.serviceMean(),
      eligible,
      reported: (index) => options.reportedLoad(group.members[index]?.id ?? ''),
    }
  }

  function settle(all: readonly TargetSelection[]): void {
    for (const placed of all) {
      waiting.get(placed.requestId)?.(placed)
      waiting.delete(placed.requestId)
    }
  }

  function withHints(ask: GrantRequest): GrantRequest {
    const wants = ask.wants.map((want) => {
      if (want.hint !== undefined) return want
      const id = options.cachedOn(want.key)
      const index = group.members.findIndex((member) => member.id === id)
      return index < 0 ? want : { ...want, hint: index }
    })
    return { ...ask, wants }
  }

  function answerAsk(ask: GrantRequest): GrantResponse {
    if (ask.wants.length > 0) askedAtMs = now()
    return home.handleGrantRequest(withHints(ask), ledgerView())
  }

  function send(): void {
    const ask = placer.nextGrantRequest(placerView())
    if (!ask) return
    const to = view.coordinatorOf(group.id)
    if (to === router) {
      settle(
        placer.applyGrantResponse(ask.sequence, answerAsk(ask), placerView()),
      )
      sendLater()
      return
    }
    const address = to === undefined ? undefined : options.addressOf(to)
    if (address === undefined) {
      settle(placer.handleGrantFailure(ask.sequence, placerView()))
      return
    }
    client.grant(address, ask).then(
      (reply) => {
        settle(placer.applyGrantResponse(ask.sequence, reply, placerView()))
        send()
        sendLater()
      },
      () => {
        settle(placer.handleGrantFailure(ask.sequence, placerView()))
      },
    )
  }

  function sendLater(): void {
    if (waiting.size > 0) setTimeout(send, 2 * COORDINATOR_RETRY_MS)
  }

  function expire(): void {
    settle(placer.expireWaiting(placerView()))
    const next = placer.nextExpiryMs
    if (next !== undefined) setTimeout(expire, Math.max(1, next - now()))
  }

  function collectFrom(to: string, ask: CollectRequest): void {
    if (to === router) {
      home.applyCollectResponse(holder.handleCollectRequest(ask), now())
      return
    }
    const address = options.addressOf(to)
    if (address === undefined) return
    client.collect(address, ask).then(
      (reply) => {
        home.applyCollectResponse(reply, now())
      },
      () => undefined,
    )
  }

  return {
    group,
    get isCoordinating() {
      return home.granting
    },
    get lastRequestAtMs() {
      return askedAtMs
    },
    allocate(want) {
      lastRequest += 1
      const requestId = lastRequest
      return new Promise((resolve) => {
        const settled = (placed: TargetSelection): void => {
          options.onAllocated(placed)
          resolve(placed)
        }
        const placed = placer.select(requestId, want, placerView())
        if (placed) {
          settled(placed)
          return
        }
        waiting.set(requestId, settled)
        send()
        if (waiting.has(requestId)) setTimeout(expire, homeLimitMs)
      })
    },
    recordInFlight: (index) => {
      holder.addInFlight(index)
    },
    release(index) {
      placer.release(index)
      send()
    },
    onGrant: answerAsk,
    onCollect: (ask) => holder.handleCollectRequest(ask),
    update() {
      const routers = view.routers()
      const { epoch } = holder
      const homeId = view.coordinatorOf(group.id)
      const calls = home.update({
        coordinator: homeId,
        routers,
        epoch,
        nowMs: now(),
      })
      for (const { to, request: ask } of calls) collectFrom(to, ask)
      send()
    },
    refreshQuota({ inFlight: known, ageMs }) {
      const { maxAgeMs } = options
      const maxLoadFactor = options.maxLoadFactor()
      const routers = view.routers()
      shares.refresh({
        routers,
        knownLoads: known,
        ageMs,
        maxAgeMs,
        maxLoadFactor,
        eligible,
      })
    },
  }
}
