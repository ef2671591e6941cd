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

/** What a group's home works with. */
export interface GroupCoordinatorOptions {
  readonly group: TargetGroup
  /** This router. */
  readonly router: string
  /** @default DEFAULT_LOAN_SIZE */
  readonly creditBatchSize?: number
}

/** What a router knows of the fleet when it looks after a group. */
export interface CoordinatorContext {
  /** Home of the group in this router's view. */
  readonly coordinator: string | undefined
  /** Live routers, this one included. */
  readonly routers: readonly string[]
  /** Highest epoch that this router has accepted as a holder. */
  readonly epoch: number
  readonly nowMs: number
}

/** A count that the home wants from a router. */
export interface OutgoingCollectRequest {
  readonly to: string
  readonly request: CollectRequest
}

/** The home's side of one group on a router that may or may not be its home. */
export interface GroupCoordinator {
  /** Takes in the view; returns the counts to ask for now. */
  update(view: CoordinatorContext): OutgoingCollectRequest[]
  applyCollectResponse(reply: CollectResponse, nowMs: number): void
  handleGrantRequest(ask: GrantRequest, view: LedgerContext): GrantResponse
  /** Whether this router grants places now. */
  readonly granting: boolean
  status(view: LedgerContext): LedgerStatus[]
}

/** Milliseconds between two tries to collect a router's counts. */
const COLLECT_RETRY_MS = 200
/** Milliseconds that a home waits after it was outbid; doubles each time. */
const OUTBID_WAIT_MS = 100
const MAX_OUTBID_WAIT_MS = 5_000
/** Milliseconds of granting after which earlier outbids are forgotten. */
const CALM_MS = 10_000
/** Epochs of one home are this far apart; no two homes use the same one. */
const EPOCH_STEP = 65_536
/** Milliseconds without a message until a router outside the view is gone. */
const FORGET_AFTER_MS = 2_000

/** Creates the home's side of a group. */
export function createGroupCoordinator(
  options: GroupCoordinatorOptions,
): GroupCoordinator {
  const { group, router, creditBatchSize: loanSize } = options
  let ledger: GrantLedger | undefined
  let highestEpoch = 0
  let closedUntilMs = -Infinity
  let openedAtMs = -Infinity
  let outbids = 0
  let collectedAtMs = -Infinity

  function end(): void {
    ledger = undefined
  }

  function outbid(epoch: number, nowMs: number): void {
    highestEpoch = Math.max(highestEpoch, epoch)
    if (nowMs - openedAtMs >= CALM_MS) outbids = 0
    const waitMs = OUTBID_WAIT_MS * 2 ** outbids
    closedUntilMs = nowMs + Math.min(MAX_OUTBID_WAIT_MS, waitMs)
    outbids += 1
    end()
  }

  function open(view: CoordinatorContext): GrantLedger {
    const heard = Math.max(highestEpoch, view.epoch)
    const turn = Math.floor(heard / EPOCH_STEP) + 1
    highestEpoch = turn * EPOCH_STEP + (hash32(router) % EPOCH_STEP)
    openedAtMs = view.nowMs
    collectedAtMs = -Infinity
    return createGrantLedger({ group, epoch: highestEpoch, loanSize })
  }

  function expectRouters(current: GrantLedger, view: CoordinatorContext): void {
    for (const id of view.routers)
      if (!current.knows(id)) current.missing.add(id)
    for (const id of [...current.missing])
      if (!view.routers.includes(id)) current.missing.delete(id)
    const silentSinceMs = view.nowMs - FORGET_AFTER_MS
    for (const id of current.silentRouters(silentSinceMs))
      if (!view.routers.includes(id)) current.forget(id, view.nowMs)
  }

  function collectCalls(
    current: GrantLedger,
    nowMs: number,
  ): OutgoingCollectRequest[] {
    if (nowMs - collectedAtMs < COLLECT_RETRY_MS) return []
    collectedAtMs = nowMs
    const { epoch } = current
    const { id, membersHash } = group
    const request = { group: id, membersHash, home: router, epoch }
    return [...current.missing].map((to) => ({ to, request: request }))
  }

  return {
    update(view) {
      if (view.coordinator !== router) {
        end()
        return []
      }
      if (ledger && view.epoch > ledger.epoch) outbid(view.epoch, view.nowMs)
      if (!ledger && view.nowMs < closedUntilMs) return []
      ledger ??= open(view)
      expectRouters(ledger, view)
      return collectCalls(ledger, view.nowMs)
    },
    applyCollectResponse(reply, nowMs) {
      if (!ledger) return
      if (reply.epoch > ledger.epoch) outbid(reply.epoch, nowMs)
      else if (reply.accepted) ledger.collected(reply, nowMs)
    },
    handleGrantRequest(ask, view) {
      if (ledger && ask.epoch > ledger.epoch) outbid(ask.epoch, view.nowMs)
      if (ledger) return ledger.ask(ask, view)
      const granted = ask.wants.map(() => -1)
      return {
        status: GrantStatus.NotCoordinator,
        epoch: 0,
        granted,
        loans: [],
      }
    },
    get granting() {
      return ledger?.missing.size === 0
    },
    status: (view) => ledger?.status(view) ?? [],
  }
}
