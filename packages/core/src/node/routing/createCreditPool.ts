import {
  CREDIT_VALID_MS,
  RETURN_AT_FALL,
  RETURN_MS,
  SMALL_LOAD,
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

/** What a holder works with. */
export interface CreditPoolOptions {
  readonly group: TargetGroup
  readonly router: string
  readonly incarnation: string
}

/** A router's own side of one group: what it uses and may use. */
export interface CreditPool {
  readonly epoch: number
  /** Requests in flight from this router, by target. */
  readonly inFlight: readonly number[]
  /** Whether a credit on the target can be used now. */
  hasCredit(index: number, nowMs: number): boolean
  /** Uses a credit; false when there is none. */
  consumeCredit(index: number, nowMs: number): boolean
  /** Counts a place that was taken without the home. */
  addInFlight(index: number): void
  /** Counts a request that ended. */
  removeInFlight(index: number): void
  /** Whether the home should hear of the changes although nobody waits. */
  isReportDue(nowMs: number, isHome: boolean): boolean
  createGrantRequest(
    wants: readonly PlacementRequest[],
    nowMs: number,
  ): GrantRequest
  /** Takes in the answer to the last message; undefined when it is too late. */
  applyGrantResponse(
    sequence: number,
    reply: GrantResponse,
  ): readonly number[] | undefined
  /** Gives up waiting for the answer to the last message. */
  abandonRequest(): void
  handleCollectRequest(ask: CollectRequest): CollectResponse
}

/** Creates the router's side of a group. */
export function createCreditPool(options: CreditPoolOptions): CreditPool {
  const { group, router, incarnation } = options
  const size = group.members.length
  const used = new Array<number>(size).fill(0)
  const credits = new Array<number>(size).fill(0)
  const creditsUntilMs = new Array<number>(size).fill(0)
  let epoch = 0
  let sequence = 0
  let finished = 0
  // The home first hears of this router before it has anything in flight.
  let changed = true
  let total = 0
  let toldTotal = 0
  let pending: { readonly sequence: number; readonly atMs: number } | undefined
  let lastAskMs = -Infinity

  function adopt(newer: number): void {
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

  function addUsed(index: number, change: number): void {
    used[index] = (used[index] ?? 0) + change
    total += change
    changed = true
  }

  function addLoans(reply: GrantResponse, askedAtMs: number): void {
    for (const [index, lent] of reply.loans.entries()) {
      if (lent <= 0) continue
      credits[index] = (credits[index] ?? 0) + lent
      creditsUntilMs[index] = askedAtMs + CREDIT_VALID_MS
    }
  }

  function hasCredit(index: number, nowMs: number): boolean {
    return (credits[index] ?? 0) > 0 && nowMs < (creditsUntilMs[index] ?? 0)
  }

  return {
    inFlight: used,
    get epoch() {
      return epoch
    },
    hasCredit,
    consumeCredit(index, nowMs) {
      if (!hasCredit(index, nowMs)) return false
      credits[index] = (credits[index] ?? 0) - 1
      addUsed(index, 1)
      return true
    },
    addInFlight: (index) => {
      addUsed(index, 1)
    },
    removeInFlight: (index) => {
      addUsed(index, -1)
      finished += 1
    },
    isReportDue(nowMs, isHome) {
      expireCredits(nowMs)
      if (isHome) return changed
      const fall = toldTotal <= SMALL_LOAD ? 1 : RETURN_AT_FALL
      if (toldTotal - total >= fall) return true
      return changed && nowMs - lastAskMs >= RETURN_MS
    },
    createGrantRequest(wants, nowMs) {
      expireCredits(nowMs)
      sequence += 1
      pending = { sequence, atMs: nowMs }
      lastAskMs = nowMs
      const ended = finished
      finished = 0
      changed = false
      toldTotal = total
      return {
        group: group.id,
        membersHash: group.membersHash,
        router,
        incarnation,
        sequence,
        epoch,
        used: [...used],
        credits: [...credits],
        finished: ended,
        wants,
      }
    },
    applyGrantResponse(answered, reply) {
      if (pending?.sequence !== answered) return undefined
      const { atMs } = pending
      pending = undefined
      if (reply.epoch < epoch) return undefined
      adopt(reply.epoch)
      if (reply.status !== GrantStatus.Granted) {
        changed = true
        return undefined
      }
      const changedBefore = changed
      for (const index of reply.granted) {
        if (index < 0) continue
        addUsed(index, 1)
        toldTotal += 1
      }
      changed = changedBefore
      addLoans(reply, atMs)
      return reply.granted
    },
    abandonRequest() {
      pending = undefined
      changed = true
    },
    handleCollectRequest(ask) {
      const accepted =
        ask.membersHash === group.membersHash && ask.epoch >= epoch
      if (accepted && ask.epoch > epoch) {
        adopt(ask.epoch)
        pending = undefined
      }
      return { accepted, epoch, router, incarnation, used: [...used] }
    },
  }
}
