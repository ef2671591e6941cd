import {
  CREDIT_TTL_MS,
  REPORT_AT_DECREASE,
  REPORT_INTERVAL_MS,
  SMALL_LOAD_REQUESTS,
} from './constants.js'
import type {
  CollectRequest,
  CollectResponse,
  GrantRequest,
  GrantResponse,
  PlacementRequest,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import type { TargetGroup } from './targetGroup.js'

/** Options for {@link createCreditPool}. */
export interface CreditPoolOptions {
  readonly group: TargetGroup
  readonly router: string
  readonly incarnation: string
}

/** Requests in flight and credits of one router on the targets of a group. */
export interface CreditPool {
  /** Highest epoch that was accepted. */
  readonly epoch: number
  /** Requests in flight from this router, by target. */
  readonly inFlight: readonly number[]
  /** Whether a valid credit on the target is available. */
  hasCredit(index: number, nowMs: number): boolean
  /** Consumes a credit; returns false if none is available. */
  consumeCredit(index: number, nowMs: number): boolean
  /** Counts a request that started without the coordinator. */
  addInFlight(index: number): void
  /** Counts a request that ended. */
  removeInFlight(index: number): void
  /** Whether to report to the coordinator although no request waits. */
  isReportDue(nowMs: number, isCoordinator: boolean): boolean
  createGrantRequest(
    wants: readonly PlacementRequest[],
    nowMs: number,
  ): GrantRequest
  /**
   * Applies the response to the last request; returns the granted targets, or
   * undefined if nothing was granted or the response arrived too late.
   */
  applyGrantResponse(
    sequence: number,
    response: GrantResponse,
  ): readonly number[] | undefined
  /** Stops waiting for the response to the last request. */
  abandonRequest(): void
  handleCollectRequest(request: CollectRequest): CollectResponse
}

/** Creates a pool without requests or credits. */
export function createCreditPool(options: CreditPoolOptions): CreditPool {
  const { group, router, incarnation } = options
  const size = group.members.length
  const inFlight = new Array<number>(size).fill(0)
  const credits = new Array<number>(size).fill(0)
  const creditsUntilMs = new Array<number>(size).fill(0)
  let epoch = 0
  let sequence = 0
  let finished = 0
  // The first report is sent before any request is in flight.
  let changed = true
  let total = 0
  let reportedTotal = 0
  let pending: { readonly sequence: number; readonly atMs: number } | undefined
  let lastRequestAtMs = -Infinity

  function acceptEpoch(newer: number): void {
    if (newer <= epoch) return
    epoch = newer
    credits.fill(0)
  }

  function expireCredits(nowMs: number): void {
    for (let index = 0; index < size; index += 1) {
      if ((credits[index] ?? 0) === 0 || nowMs < (creditsUntilMs[index] ?? 0))
        continue
      credits[index] = 0
      changed = true
    }
  }

  function changeInFlight(index: number, change: number): void {
    inFlight[index] = (inFlight[index] ?? 0) + change
    total += change
    changed = true
  }

  function addCredits(response: GrantResponse, requestedAtMs: number): void {
    for (const [index, count] of response.loans.entries()) {
      if (count <= 0) continue
      credits[index] = (credits[index] ?? 0) + count
      creditsUntilMs[index] = requestedAtMs + CREDIT_TTL_MS
    }
  }

  function hasCredit(index: number, nowMs: number): boolean {
    return (credits[index] ?? 0) > 0 && nowMs < (creditsUntilMs[index] ?? 0)
  }

  return {
    inFlight,
    get epoch() {
      return epoch
    },
    hasCredit,
    consumeCredit(index, nowMs) {
      if (!hasCredit(index, nowMs)) return false
      credits[index] = (credits[index] ?? 0) - 1
      changeInFlight(index, 1)
      return true
    },
    addInFlight: (index) => {
      changeInFlight(index, 1)
    },
    removeInFlight: (index) => {
      changeInFlight(index, -1)
      finished += 1
    },
    isReportDue(nowMs, isCoordinator) {
      expireCredits(nowMs)
      if (isCoordinator) return changed
      const decrease =
        reportedTotal <= SMALL_LOAD_REQUESTS ? 1 : REPORT_AT_DECREASE
      if (reportedTotal - total >= decrease) return true
      return changed && nowMs - lastRequestAtMs >= REPORT_INTERVAL_MS
    },
    createGrantRequest(wants, nowMs) {
      expireCredits(nowMs)
      sequence += 1
      pending = { sequence, atMs: nowMs }
      lastRequestAtMs = nowMs
      const ended = finished
      finished = 0
      changed = false
      reportedTotal = total
      return {
        group: group.id,
        membersHash: group.membersHash,
        router,
        incarnation,
        sequence,
        epoch,
        used: [...inFlight],
        credits: [...credits],
        finished: ended,
        wants,
      }
    },
    applyGrantResponse(responseSequence, response) {
      if (pending?.sequence !== responseSequence) return undefined
      const { atMs } = pending
      pending = undefined
      if (response.epoch < epoch) return undefined
      acceptEpoch(response.epoch)
      if (response.status !== GrantStatus.Granted) {
        changed = true
        return undefined
      }
      const changedBefore = changed
      for (const index of response.granted) {
        if (index < 0) continue
        changeInFlight(index, 1)
        reportedTotal += 1
      }
      changed = changedBefore
      addCredits(response, atMs)
      return response.granted
    },
    abandonRequest() {
      pending = undefined
      changed = true
    },
    handleCollectRequest(request) {
      const accepted =
        request.membersHash === group.membersHash && request.epoch >= epoch
      if (accepted && request.epoch > epoch) {
        acceptEpoch(request.epoch)
        pending = undefined
      }
      return { accepted, epoch, router, incarnation, used: [...inFlight] }
    },
  }
}
