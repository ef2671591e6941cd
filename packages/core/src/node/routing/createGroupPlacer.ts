import type { GrantHolder } from './createGrantHolder.js'
import type { LevelShares } from './createLevelShares.js'
import type { GrantAsk, GrantReply, PlaceWant } from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import { PlaceSource } from './placeSource.js'
import { rendezvousOrder } from './rendezvousOrder.js'
import type { TargetGroup } from './targetGroup.js'

/** What a placer works with. */
export interface GroupPlacerOptions {
  readonly group: TargetGroup
  readonly holder: GrantHolder
  readonly shares: LevelShares
  /** Milliseconds that a request waits for the home at most. */
  readonly homeLimitMs: number
}

/** What a placer must know at each decision. */
export interface PlacerView {
  readonly nowMs: number
  /** Whether there is a home to ask. */
  readonly homeKnown: boolean
  /** Whether this router is the home itself. */
  readonly isHome: boolean
  eligible(index: number): boolean
}

/** Where a request goes. */
export interface Placed {
  readonly requestId: number
  /** Index of the target; -1 for none. */
  readonly index: number
  readonly source: PlaceSource
  /** Milliseconds that the decision waited. */
  readonly waitedMs: number
}

/** Places the requests of one router on one group. */
export interface GroupPlacer {
  /** Places a request at once, or lets it wait for the home. */
  request(
    requestId: number,
    want: PlaceWant,
    view: PlacerView,
  ): Placed | undefined
  /** The message to send now, if any; one is under way at a time. */
  nextAsk(view: PlacerView): GrantAsk | undefined
  answered(sequence: number, reply: GrantReply, view: PlacerView): Placed[]
  /** The message got no answer: its requests do without the home. */
  failed(sequence: number, view: PlacerView): Placed[]
  /** Requests that have waited for the limit do without the home. */
  expire(view: PlacerView): Placed[]
  /** When the next request has waited for the limit. */
  readonly nextExpiryMs: number | undefined
  finished(index: number): void
}

interface Waiting {
  readonly requestId: number
  readonly want: PlaceWant
  readonly sinceMs: number
}

/** Milliseconds for which a silent home is not asked again. */
const SILENT_HOME_MS = 250

/** Milliseconds after which a home that was not ready is asked again. */
export const HOME_RETRY_MS = 1

/** Creates the placer of one group. */
export function createGroupPlacer(options: GroupPlacerOptions): GroupPlacer {
  const { group, holder, shares, homeLimitMs } = options
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

  function* candidates(want: PlaceWant, view: PlacerView): Iterable<number> {
    const usable = (index: number): boolean =>
      view.eligible(index) && !want.exclude.includes(index)
    if (want.hint !== undefined && usable(want.hint)) yield want.hint
    for (const { index } of rendezvousOrder(want.key, members))
      if (usable(index)) yield index
  }

  function preferred(want: PlaceWant, view: PlacerView): number | undefined {
    for (const index of candidates(want, view)) return index
    return undefined
  }

  function withoutHome(entry: Waiting, view: PlacerView): Placed {
    const { requestId, want, sinceMs } = entry
    const waitedMs = view.nowMs - sinceMs
    for (const index of candidates(want, view)) {
      if (!shares.mayTake(index)) continue
      shares.take(index)
      holder.take(index)
      return { requestId, index, source: PlaceSource.Share, waitedMs }
    }
    const index = shares.roomiest(want.exclude)
    if (index === undefined || !view.eligible(index))
      return { requestId, index: -1, source: PlaceSource.None, waitedMs }
    shares.take(index)
    holder.take(index)
    return { requestId, index, source: PlaceSource.Forced, waitedMs }
  }

  function endAsk(): Waiting[] {
    const ended = asked
    asked = []
    askedSequence = undefined
    return ended
  }

  function giveUp(view: PlacerView): Placed[] {
    holder.abandon()
    silentUntilMs = view.nowMs + SILENT_HOME_MS
    return endAsk().map((entry) => withoutHome(entry, view))
  }

  function usable(view: PlacerView): boolean {
    return view.homeKnown && view.nowMs >= silentUntilMs
  }

  return {
    request(requestId, want, view) {
      const first = preferred(want, view)
      if (first === undefined)
        return { requestId, index: -1, source: PlaceSource.None, waitedMs: 0 }
      if (holder.useCredit(first, view.nowMs)) {
        shares.take(first)
        return {
          requestId,
          index: first,
          source: PlaceSource.Credit,
          waitedMs: 0,
        }
      }
      const entry = { requestId, want, sinceMs: view.nowMs }
      if (!usable(view)) return withoutHome(entry, view)
      waiting.push(entry)
      return undefined
    },
    nextAsk(view) {
      if (askedSequence !== undefined || !usable(view)) return undefined
      if (view.nowMs < retryAtMs) return undefined
      if (waiting.length === 0 && !holder.returnDue(view.nowMs, view.isHome))
        return undefined
      asked = waiting
      waiting = []
      const ask = holder.ask(
        asked.map(({ want }) => want),
        view.nowMs,
      )
      askedSequence = ask.sequence
      return ask
    },
    answered(sequence, reply, view) {
      if (sequence !== askedSequence) return []
      const granted = holder.answer(sequence, reply)
      const answered = endAsk()
      if (!granted && reply.status === GrantStatus.ViewsDiffer)
        return answered.map((entry) => withoutHome(entry, view))
      if (!granted) {
        // The home may be ready within the limit.
        waiting = [...answered, ...waiting]
        retryAtMs = view.nowMs + HOME_RETRY_MS
        return []
      }
      return answered.map((entry, position) => {
        const index = granted[position] ?? -1
        if (index >= 0) shares.take(index)
        const source = index < 0 ? PlaceSource.None : PlaceSource.Grant
        const { requestId, sinceMs } = entry
        return { requestId, index, source, waitedMs: view.nowMs - sinceMs }
      })
    },
    failed(sequence, view) {
      return sequence === askedSequence ? giveUp(view) : []
    },
    expire(view) {
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
    finished: (index) => {
      holder.finish(index)
    },
  }
}
