import type { CreditPool } from './createCreditPool.js'
import type { FallbackQuota } from './createFallbackQuota.js'
import type {
  GrantRequest,
  GrantResponse,
  PlacementRequest,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import { SelectionSource } from './selectionSource.js'
import { rendezvousOrder } from './rendezvousOrder.js'
import type { TargetGroup } from './targetGroup.js'

/** What a placer works with. */
export interface GroupTargetSelectorOptions {
  readonly group: TargetGroup
  readonly creditPool: CreditPool
  readonly fallbackQuota: FallbackQuota
  /** Milliseconds that a request waits for the home at most. */
  readonly coordinatorTimeoutMs: number
}

/** What a placer must know at each decision. */
export interface SelectionContext {
  readonly nowMs: number
  /** Whether there is a home to ask. */
  readonly hasCoordinator: boolean
  /** Whether this router is the home itself. */
  readonly isCoordinator: boolean
  eligible(index: number): boolean
}

/** Where a request goes. */
export interface TargetSelection {
  readonly requestId: number
  /** Index of the target; -1 for none. */
  readonly index: number
  readonly source: SelectionSource
  /** Milliseconds that the decision waited. */
  readonly waitedMs: number
}

/** Places the requests of one router on one group. */
export interface GroupTargetSelector {
  /** Places a request at once, or lets it wait for the home. */
  select(
    requestId: number,
    want: PlacementRequest,
    view: SelectionContext,
  ): TargetSelection | undefined
  /** The message to send now, if any; one is under way at a time. */
  nextGrantRequest(view: SelectionContext): GrantRequest | undefined
  applyGrantResponse(
    sequence: number,
    reply: GrantResponse,
    view: SelectionContext,
  ): TargetSelection[]
  /** The message got no answer: its requests do without the home. */
  handleGrantFailure(
    sequence: number,
    view: SelectionContext,
  ): TargetSelection[]
  /** Requests that have waited for the limit do without the home. */
  expireWaiting(view: SelectionContext): TargetSelection[]
  /** When the next request has waited for the limit. */
  readonly nextExpiryMs: number | undefined
  release(index: number): void
}

interface Waiting {
  readonly requestId: number
  readonly want: PlacementRequest
  readonly sinceMs: number
}

/** Milliseconds for which a silent home is not asked again. */
const SILENT_HOME_MS = 250

/** Milliseconds after which a home that was not ready is asked again. */
export const COORDINATOR_RETRY_MS = 1

/** Creates the placer of one group. */
export function createGroupTargetSelector(
  options: GroupTargetSelectorOptions,
): GroupTargetSelector {
  const {
    group,
    creditPool: holder,
    fallbackQuota: shares,
    coordinatorTimeoutMs: homeLimitMs,
  } = options
  const members = group.members.map(({ id, weight }, index) => ({
    id,
    weight,
    index,
  }))
  let waiting: Waiting[] = []
  let asked: Waiting[] = []
  let askedSequence: number | undefined
  let silentUntilMs = -Infinity
  let retryAtMs = -Infinity

  function* candidates(
    want: PlacementRequest,
    view: SelectionContext,
  ): Iterable<number> {
    const usable = (index: number): boolean =>
      view.eligible(index) && !want.exclude.includes(index)
    if (want.hint !== undefined && usable(want.hint)) yield want.hint
    for (const { index } of rendezvousOrder(want.key, members))
      if (usable(index)) yield index
  }

  function preferred(
    want: PlacementRequest,
    view: SelectionContext,
  ): number | undefined {
    for (const index of candidates(want, view)) return index
    return undefined
  }

  function withoutHome(
    entry: Waiting,
    view: SelectionContext,
  ): TargetSelection {
    const { requestId, want, sinceMs } = entry
    const waitedMs = view.nowMs - sinceMs
    for (const index of candidates(want, view)) {
      if (!shares.hasQuota(index)) continue
      shares.consume(index)
      holder.addInFlight(index)
      return { requestId, index, source: SelectionSource.Share, waitedMs }
    }
    const index = shares.findMostHeadroom(want.exclude)
    if (index === undefined || !view.eligible(index))
      return { requestId, index: -1, source: SelectionSource.None, waitedMs }
    shares.consume(index)
    holder.addInFlight(index)
    return { requestId, index, source: SelectionSource.Forced, waitedMs }
  }

  function endAsk(): Waiting[] {
    const ended = asked
    asked = []
    askedSequence = undefined
    return ended
  }

  function giveUp(view: SelectionContext): TargetSelection[] {
    holder.abandonRequest()
    silentUntilMs = view.nowMs + SILENT_HOME_MS
    return endAsk().map((entry) => withoutHome(entry, view))
  }

  function usable(view: SelectionContext): boolean {
    return view.hasCoordinator && view.nowMs >= silentUntilMs
  }

  return {
    select(requestId, want, view) {
      const first = preferred(want, view)
      if (first === undefined)
        return {
          requestId,
          index: -1,
          source: SelectionSource.None,
          waitedMs: 0,
        }
      if (holder.consumeCredit(first, view.nowMs)) {
        shares.consume(first)
        return {
          requestId,
          index: first,
          source: SelectionSource.Credit,
          waitedMs: 0,
        }
      }
      const entry = { requestId, want, sinceMs: view.nowMs }
      if (!usable(view)) return withoutHome(entry, view)
      waiting.push(entry)
      return undefined
    },
    nextGrantRequest(view) {
      if (askedSequence !== undefined || !usable(view)) return undefined
      if (view.nowMs < retryAtMs) return undefined
      if (
        waiting.length === 0 &&
        !holder.isReportDue(view.nowMs, view.isCoordinator)
      )
        return undefined
      asked = waiting
      waiting = []
      const ask = holder.createGrantRequest(
        asked.map(({ want }) => want),
        view.nowMs,
      )
      askedSequence = ask.sequence
      return ask
    },
    applyGrantResponse(sequence, reply, view) {
      if (sequence !== askedSequence) return []
      const granted = holder.applyGrantResponse(sequence, reply)
      const answered = endAsk()
      if (!granted && reply.status === GrantStatus.ViewsDiffer)
        return answered.map((entry) => withoutHome(entry, view))
      if (!granted) {
        // The home may be ready within the limit.
        waiting = [...answered, ...waiting]
        retryAtMs = view.nowMs + COORDINATOR_RETRY_MS
        return []
      }
      return answered.map((entry, position) => {
        const index = granted[position] ?? -1
        if (index >= 0) shares.consume(index)
        const source = index < 0 ? SelectionSource.None : SelectionSource.Grant
        const { requestId, sinceMs } = entry
        return { requestId, index, source, waitedMs: view.nowMs - sinceMs }
      })
    },
    handleGrantFailure(sequence, view) {
      return sequence === askedSequence ? giveUp(view) : []
    },
    expireWaiting(view) {
      const isDue = ({ sinceMs }: Waiting): boolean =>
        view.nowMs - sinceMs >= homeLimitMs
      const due = waiting.filter(isDue)
      const silent =
        asked.some(isDue) || (due.length > 0 && askedSequence !== undefined)
      const placed = silent ? giveUp(view) : []
      waiting = waiting.filter((entry) => !isDue(entry))
      return [...placed, ...due.map((entry) => withoutHome(entry, view))]
    },
    get nextExpiryMs() {
      const oldest = asked[0] ?? waiting[0]
      return oldest && oldest.sinceMs + homeLimitMs
    },
    release: (index) => {
      holder.removeInFlight(index)
    },
  }
}
