import { DEFAULT_LOAN_SIZE, LOAN_LOAD_FACTOR, LOAN_SHARE } from './constants.js'
import { createAccountBook } from './createAccountBook.js'
import { createReportWindow } from './createReportWindow.js'
import type {
  CollectResponse,
  GrantRequest,
  GrantResponse,
  PlacementRequest,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import type { LedgerContext } from './ledgerContext.js'
import { rendezvousOrder } from './rendezvousOrder.js'
import type { TargetGroup } from './targetGroup.js'

/** What a ledger works with. */
export interface GrantLedgerOptions {
  readonly group: TargetGroup
  /** Greater than every epoch the home has heard of. */
  readonly epoch: number
  /** Credits lent on one target to one router. @default DEFAULT_LOAN_SIZE */
  readonly loanSize?: number
}

/** Load and bound of one target as the home counts them. */
export interface LedgerStatus {
  readonly held: number
  readonly bound: number
}

/** The home's account of one group: who holds which places. */
export interface GrantLedger {
  readonly epoch: number
  /** Routers whose counts must come in before places are granted. */
  readonly missing: Set<string>
  collected(reply: CollectResponse, nowMs: number): void
  ask(ask: GrantRequest, view: LedgerContext): GrantResponse
  /** Drops what a router held that is gone. */
  forget(router: string, nowMs: number): void
  /** Routers that were not heard of since a time. */
  silentRouters(sinceMs: number): string[]
  knows(router: string): boolean
  status(view: LedgerContext): LedgerStatus[]
}

/** Creates the account of a home's group. */
export function createGrantLedger(options: GrantLedgerOptions): GrantLedger {
  const { group, epoch } = options
  const size = group.members.length
  const loanSize = options.loanSize ?? DEFAULT_LOAN_SIZE
  const members = group.members.map(({ id, weight }, index) => ({
    id,
    weight,
    index,
  }))
  const missing = new Set<string>()
  const book = createAccountBook(size)
  const reports = createReportWindow(size)

  const zeros = (): number[] => new Array<number>(size).fill(0)

  function heldBy(view: LedgerContext): number[] {
    const held = members.map(({ index }) => book.held(index))
    reports.note(held, view.nowMs)
    return held.map(
      (load, index) => load + reports.unaccounted(index, view.reported(index)),
    )
  }

  function weightOf(view: LedgerContext): number {
    let total = 0
    for (const { index, weight } of members)
      if (view.eligible(index)) total += weight
    return total
  }

  function meanLoad(view: LedgerContext, starting: number): number {
    const total = book.lowerLoad((index) => view.eligible(index), view.nowMs)
    const mean = (total + starting) / Math.max(weightOf(view), Number.EPSILON)
    return Math.min(mean, view.serviceMean ?? mean)
  }

  function orderOf(want: PlacementRequest): typeof members {
    const order = rendezvousOrder(want.key, members)
    const hinted = want.hint === undefined ? undefined : members[want.hint]
    return hinted ? [hinted, ...order] : order
  }

  function choose(
    want: PlacementRequest,
    held: readonly number[],
    view: LedgerContext,
  ): number {
    const limit = view.maxLoadFactor * meanLoad(view, 1)
    for (const { index, weight } of orderOf(want)) {
      if (!view.eligible(index) || want.exclude.includes(index)) continue
      if ((held[index] ?? 0) <= limit * weight) return index
    }
    return leastHeld(want, held, view)
  }

  // The lower estimate is too low for a few requests on a few targets; then the
  // least loaded target is within the bound by the counts as they stand.
  function leastHeld(
    want: PlacementRequest,
    held: readonly number[],
    view: LedgerContext,
  ): number {
    let least = -1
    let lowest = Infinity
    let total = 1
    for (const { index, weight } of members) {
      if (!view.eligible(index)) continue
      const load = held[index] ?? 0
      total += load
      if (want.exclude.includes(index) || load / weight >= lowest) continue
      least = index
      lowest = load / weight
    }
    const mean = total / Math.max(weightOf(view), Number.EPSILON)
    return lowest <= view.maxLoadFactor * mean ? least : -1
  }

  function grant(ask: GrantRequest, view: LedgerContext): number[] {
    const held = heldBy(view)
    const granted: number[] = []
    for (const want of ask.wants) {
      const index = choose(want, held, view)
      granted.push(index)
      if (index < 0) continue
      held[index] = (held[index] ?? 0) + 1
      book.use(ask.router, index)
    }
    return granted
  }

  function lend(router: string, view: LedgerContext): number[] {
    const loans = zeros()
    const held = heldBy(view)
    const mean = meanLoad(view, 0)
    const credits = book.get(router)?.credits ?? []
    let left = Math.floor(mean * weightOf(view) * LOAN_SHARE) - book.outstanding
    const leastFirst = [...members].sort(
      (a, b) =>
        (held[a.index] ?? 0) / a.weight - (held[b.index] ?? 0) / b.weight,
    )
    for (const { index, weight } of leastFirst) {
      if (left <= 0) break
      const room = Math.floor(
        LOAN_LOAD_FACTOR * mean * weight - (held[index] ?? 0),
      )
      const lent = Math.min(room, loanSize - (credits[index] ?? 0), left)
      if (lent <= 0 || !view.eligible(index)) continue
      loans[index] = lent
      book.lend(router, index, lent)
      left -= lent
    }
    return loans
  }

  function refuse(status: GrantStatus, ask: GrantRequest): GrantResponse {
    const granted = ask.wants.map(() => -1)
    return { status, epoch, granted, loans: [] }
  }

  function account(ask: GrantRequest, nowMs: number): boolean {
    const { router, incarnation, sequence, used, finished } = ask
    const known = book.get(router)
    if (known?.incarnation === incarnation && sequence <= known.sequence)
      return false
    const credits = ask.epoch === epoch ? [...ask.credits] : zeros()
    const entry = {
      incarnation,
      sequence,
      atMs: nowMs,
      used: [...used],
      credits,
    }
    book.put(router, entry, finished)
    missing.delete(router)
    return true
  }

  return {
    epoch,
    missing,
    collected(reply, nowMs) {
      const { router, incarnation, used } = reply
      missing.delete(router)
      if (book.get(router)?.incarnation === incarnation) return
      const entry = {
        incarnation,
        sequence: 0,
        atMs: nowMs,
        used: [...used],
        credits: zeros(),
      }
      book.put(router, entry, 0)
    },
    ask(ask, view) {
      if (ask.membersHash !== group.membersHash)
        return refuse(GrantStatus.ViewsDiffer, ask)
      if (ask.epoch > epoch) return refuse(GrantStatus.Stale, ask)
      if (!account(ask, view.nowMs)) return refuse(GrantStatus.Stale, ask)
      // A router that obeys an older epoch may just use that epoch's credits.
      if (missing.size > 0 || ask.epoch < epoch)
        return refuse(GrantStatus.Collecting, ask)
      const granted = grant(ask, view)
      const loans = lend(ask.router, view)
      return { status: GrantStatus.Granted, epoch, granted, loans }
    },
    forget(router, nowMs) {
      book.remove(router, nowMs)
      missing.delete(router)
    },
    silentRouters: (sinceMs) =>
      book.routers().filter((id) => (book.get(id)?.atMs ?? 0) < sinceMs),
    knows: (router) => book.get(router) !== undefined,
    status(view) {
      const bound = view.maxLoadFactor * meanLoad(view, 1)
      const held = heldBy(view)
      return members.map(({ index, weight }) => ({
        held: held[index] ?? 0,
        bound: bound * weight + 1,
      }))
    },
  }
}
