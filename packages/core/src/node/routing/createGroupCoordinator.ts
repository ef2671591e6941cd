import { hash32 } from '../hash/hash32.js'
import {
  createGrantLedger,
  type GrantLedger,
  type LedgerStatus,
} from './createGrantLedger.js'
import type {
  CollectRequest,
  CollectResponse,
  GrantRequest,
  GrantResponse,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import type { LedgerContext } from './ledgerContext.js'
import type { TargetGroup } from './targetGroup.js'

/** Options for {@link createGroupCoordinator}. */
export interface GroupCoordinatorOptions {
  readonly group: TargetGroup
  /** This router. */
  readonly router: string
  /**
   * Maximum number of credits that one router holds on one target.
   * @default DEFAULT_CREDIT_BATCH_SIZE
   */
  readonly creditBatchSize?: number
}

/** Fleet state that decides whether this router coordinates a group. */
export interface CoordinatorContext {
  /** Coordinator of the group in this router's membership view. */
  readonly coordinator: string | undefined
  /** Live routers, this one included. */
  readonly routers: readonly string[]
  /** Highest epoch that this router's credit pool has accepted. */
  readonly epoch: number
  /** Milliseconds of the monotonic clock. */
  readonly nowMs: number
}

/** A collect request and the router to send it to. */
export interface OutgoingCollectRequest {
  readonly to: string
  readonly request: CollectRequest
}

/** Coordinator of one group; grants slots only while this router is elected. */
export interface GroupCoordinator {
  /** Applies the membership view; returns the collect requests to send now. */
  update(context: CoordinatorContext): OutgoingCollectRequest[]
  applyCollectResponse(response: CollectResponse, nowMs: number): void
  handleGrantRequest(
    request: GrantRequest,
    context: LedgerContext,
  ): GrantResponse
  /** Whether this router grants slots now. */
  readonly granting: boolean
  /** Returns load and bound by target; empty unless this router coordinates. */
  status(context: LedgerContext): LedgerStatus[]
}

/** Milliseconds between two collect requests to the same router. */
const COLLECT_RETRY_MS = 200
/** Milliseconds to wait after a higher epoch was received; doubles each time. */
const BASE_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 5_000
/** Milliseconds of granting after which the backoff starts over. */
const BACKOFF_RESET_MS = 10_000
/**
 * Distance between two epochs of one coordinator. The remainder is a hash of
 * its id, so that two coordinators don't use the same epoch.
 */
const EPOCH_STEP = 65_536
/** Milliseconds without a message until a router outside the view is removed. */
const ROUTER_EXPIRY_MS = 2_000

/** Creates the coordinator of a group. */
export function createGroupCoordinator(
  options: GroupCoordinatorOptions,
): GroupCoordinator {
  const { group, router, creditBatchSize } = options
  let ledger: GrantLedger | undefined
  let highestEpoch = 0
  let backoffUntilMs = -Infinity
  let startedAtMs = -Infinity
  let failedAttempts = 0
  let collectedAtMs = -Infinity

  function stop(): void {
    ledger = undefined
  }

  /** Stops granting because another router uses a higher epoch. */
  function yieldTo(epoch: number, nowMs: number): void {
    highestEpoch = Math.max(highestEpoch, epoch)
    if (nowMs - startedAtMs >= BACKOFF_RESET_MS) failedAttempts = 0
    const backoffMs = BASE_BACKOFF_MS * 2 ** failedAttempts
    backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, backoffMs)
    failedAttempts += 1
    stop()
  }

  function start(context: CoordinatorContext): GrantLedger {
    const known = Math.max(highestEpoch, context.epoch)
    const round = Math.floor(known / EPOCH_STEP) + 1
    highestEpoch = round * EPOCH_STEP + (hash32(router) % EPOCH_STEP)
    startedAtMs = context.nowMs
    collectedAtMs = -Infinity
    return createGrantLedger({ group, epoch: highestEpoch, creditBatchSize })
  }

  function updateRouters(
    current: GrantLedger,
    context: CoordinatorContext,
  ): void {
    for (const id of context.routers)
      if (!current.hasRouter(id)) current.missingRouters.add(id)
    for (const id of [...current.missingRouters])
      if (!context.routers.includes(id)) current.missingRouters.delete(id)
    const staleSinceMs = context.nowMs - ROUTER_EXPIRY_MS
    for (const id of current.findStaleRouters(staleSinceMs))
      if (!context.routers.includes(id)) current.removeRouter(id, context.nowMs)
  }

  function createCollectRequests(
    current: GrantLedger,
    nowMs: number,
  ): OutgoingCollectRequest[] {
    if (nowMs - collectedAtMs < COLLECT_RETRY_MS) return []
    collectedAtMs = nowMs
    const { epoch } = current
    const { id, membersHash } = group
    const request = { group: id, membersHash, home: router, epoch }
    return [...current.missingRouters].map((to) => ({ to, request }))
  }

  return {
    update(context) {
      const { coordinator, epoch, nowMs } = context
      if (coordinator !== router) {
        stop()
        return []
      }
      if (ledger && epoch > ledger.epoch) yieldTo(epoch, nowMs)
      if (!ledger && nowMs < backoffUntilMs) return []
      ledger ??= start(context)
      updateRouters(ledger, context)
      return createCollectRequests(ledger, nowMs)
    },
    applyCollectResponse(response, nowMs) {
      if (!ledger) return
      if (response.epoch > ledger.epoch) yieldTo(response.epoch, nowMs)
      else if (response.accepted) ledger.applyCollectResponse(response, nowMs)
    },
    handleGrantRequest(request, context) {
      if (ledger && request.epoch > ledger.epoch)
        yieldTo(request.epoch, context.nowMs)
      if (ledger) return ledger.handleGrantRequest(request, context)
      const granted = request.wants.map(() => -1)
      return {
        status: GrantStatus.NotCoordinator,
        epoch: 0,
        granted,
        loans: [],
      }
    },
    get granting() {
      return ledger?.missingRouters.size === 0
    },
    status: (context) => ledger?.status(context) ?? [],
  }
}
