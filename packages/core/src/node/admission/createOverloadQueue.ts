import {
  type Admission,
  AdmissionAction,
  type AdmissionRequest,
  type ServiceRoom,
  type WaitingDecision,
} from './admission.js'
import { createMeanRunTime } from './createMeanRunTime.js'
import { createStandingMinimum } from './createStandingMinimum.js'
import { createWeightedShares } from './createWeightedShares.js'
import { effectiveRank } from './effectiveRank.js'

/** Options for {@link createOverloadQueue}. */
export interface OverloadQueueOptions {
  readonly room: () => ServiceRoom
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Decides which requests of one router go to a service at once, wait, or are refused. */
export interface OverloadQueue<T extends AdmissionRequest> {
  readonly size: number
  /** Requests that were sent and have not ended. */
  readonly inFlight: number
  /** Returns what {@link OverloadQueue.offer} would decide now; nothing is remembered by asking. */
  preview(request: T): Admission
  /** Decides on a new request; one that is sent is in flight until {@link OverloadQueue.end}. */
  offer(request: T): Admission
  /** Returns the requests that no longer wait; called after a request has ended and now and then. */
  take(): WaitingDecision<T>[]
  /** Removes a request whose caller has left. */
  remove(id: string): void
  /** Ends a request that was sent; `slotMs` is the time for which it had a target's slot, unless it had to wait there. */
  end(slotMs?: number): void
}

/** Part of the spare time until a request is due that may be spent waiting at a target; counts of peers are late. */
const WAIT_PART = 0.8
/** Part of the room of one rank that the next, less urgent one may use. */
const RANK_PART = 0.7
/** Part of the room that the least urgent rank may use. */
const MIN_RANK_PART = 0.5
/** Part of the room that late requests may use: with free slots only, they would wait for long although others lose nothing by a short wait. */
const LATE_PART = 0.25
/** Part of the time until its deadline that a request waits here: after a refusal the caller has time to return. */
const HOLD_PART = 0.25
/** Milliseconds for which a rank is remembered, so that less urgent ones leave room for it. */
const RANK_MEMORY_MS = 2_000
/** Milliseconds of waiting that raise a request by one rank. */
const AGEING_MS = 500
/** Time for which the requests in flight must exceed a limit, in milliseconds: counts of peers are up to 0.8 s old, and a short burst passes before a hold would help. */
const STANDING_MS = 500
/** Half-life of a customer's past service, in milliseconds. */
const SHARE_HALF_LIFE_MS = 5_000
/** Shortest time after which a refused caller may return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100

const SEND: Admission = { action: AdmissionAction.Send }

/** Creates an empty queue. Answers bursts beyond what the targets of a service can run. */
export function createOverloadQueue<T extends AdmissionRequest>(
  options: OverloadQueueOptions,
): OverloadQueue<T> {
  const { room, now } = options
  const waiting = new Map<string, T>()
  const shares = createWeightedShares(SHARE_HALF_LIFE_MS)
  const slotTime = createMeanRunTime()
  const standing = createStandingMinimum(STANDING_MS)
  const rankSeenAtMs = new Map<number, number>()
  let own = 0

  function bestRank(): number {
    let best = Infinity
    for (const [rank, atMs] of rankSeenAtMs)
      if (now() - atMs < RANK_MEMORY_MS) best = Math.min(best, rank)
    return best
  }

  /** Returns the requests that may be in flight so that another one waits at the targets for `waitMs` at most. */
  function limitOf(slots: number, waitMs: number, slotMs: number): number {
    return slots * (1 + (WAIT_PART * Math.max(0, waitMs)) / slotMs)
  }

  /** Returns the room that a request has as it comes, without regard to its rank. */
  function fullLimitFor(request: T, slots: number, slotMs: number): number {
    const { dueAtMs, enqueuedAtMs } = request
    return limitOf(slots, dueAtMs - enqueuedAtMs - slotMs, slotMs)
  }

  function limitFor(request: T, slots: number, slotMs: number): number {
    const { dueAtMs, enqueuedAtMs } = request
    const aged = effectiveRank(request, now(), AGEING_MS)
    const rankPart = RANK_PART ** Math.max(0, aged - bestRank())
    const spareMs = dueAtMs - now() - slotMs
    const inTimeMs = Math.max(MIN_RANK_PART, rankPart) * spareMs
    const lateMs = LATE_PART * (dueAtMs - enqueuedAtMs - slotMs)
    return limitOf(slots, Math.max(inTimeMs, lateMs), slotMs)
  }

  /** Whether fewer requests are in flight than a limit allows, or a slot is free. */
  function isBelow(
    limitAt: (slots: number, slotMs: number) => number,
  ): boolean {
    const { slots, peersInFlight } = room()
    const present = peersInFlight + own
    // A new request follows the standing queue; those that wait, room as it is.
    const inFlight =
      waiting.size > 0 ? present : Math.min(present, standing.lowest(now()))
    const slotMs = slotTime.meanMs
    if (inFlight < slots || slotMs === undefined) return true
    return inFlight < limitAt(slots, slotMs)
  }

  const maySend = (request: T): boolean =>
    isBelow((slots, slotMs) => limitFor(request, slots, slotMs))

  /** Whether a request that has waited for long is sent although it gets less than its turn: late is better than never. */
  const maySendLate = (request: T): boolean =>
    isBelow((slots, slotMs) => fullLimitFor(request, slots, slotMs))

  const isLate = ({ dueAtMs }: T): boolean =>
    dueAtMs - now() < (slotTime.meanMs ?? 0)

  function compare(a: T, b: T): number {
    const late = Number(isLate(a)) - Number(isLate(b))
    if (late !== 0) return late
    const rank =
      effectiveRank(a, now(), AGEING_MS) - effectiveRank(b, now(), AGEING_MS)
    if (rank !== 0) return rank
    const share =
      shares.share(a.customer, a.weight, now()) -
      shares.share(b.customer, b.weight, now())
    return share === 0 ? a.dueAtMs - b.dueAtMs : share
  }

  const inOrder = (): T[] => [...waiting.values()].sort(compare)

  const holdMsOf = ({ deadlineAtMs, enqueuedAtMs }: T): number =>
    HOLD_PART * (deadlineAtMs - enqueuedAtMs)

  /** Returns the milliseconds in which this router's share of the slots starts a number of requests. */
  function drainMs(requests: number): number {
    const { slots, routers } = room()
    return (requests * (slotTime.meanMs ?? 0) * routers) / Math.max(1, slots)
  }

  function refusal(): Admission {
    const { slots, peersInFlight } = room()
    const backlog = Math.max(0, peersInFlight + own - slots)
    const backlogMs = (backlog * (slotTime.meanMs ?? 0)) / Math.max(1, slots)
    const retryAfterMs = backlogMs + drainMs(waiting.size)
    return {
      action: AdmissionAction.Refuse,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs),
    }
  }

  function send({ customer }: T): void {
    own += 1
    shares.charge(customer, now())
  }

  /** Whether a request cannot start within the time for which it may wait, after those before it. */
  function isHopeless(request: T): boolean {
    const { slots, peersInFlight } = room()
    if (peersInFlight + own < slots) return false
    if (now() + (slotTime.meanMs ?? 0) > request.deadlineAtMs) return true
    if (maySendLate(request)) return false
    let before = 0
    for (const other of waiting.values())
      if (compare(other, request) < 0) before += 1
    return drainMs(before) > holdMsOf(request)
  }

  function sample(): void {
    standing.add(room().peersInFlight + own, now())
  }

  function decide(request: T): Admission {
    const isNext = inOrder().every((other) => compare(request, other) < 0)
    if (isNext && maySend(request)) return SEND
    if (isHopeless(request)) return refusal()
    return { action: AdmissionAction.Wait }
  }

  return {
    get size() {
      return waiting.size
    },
    get inFlight() {
      return own
    },
    preview: decide,
    offer(request) {
      sample()
      rankSeenAtMs.set(request.rank, now())
      const admission = decide(request)
      if (admission.action === AdmissionAction.Send) send(request)
      if (admission.action === AdmissionAction.Wait)
        waiting.set(request.id, request)
      return admission
    },
    take() {
      sample()
      const decisions: WaitingDecision<T>[] = []
      for (const request of inOrder()) {
        const isOver = now() + (slotTime.meanMs ?? 0) > request.deadlineAtMs
        const hasWaited =
          isOver || now() - request.enqueuedAtMs >= holdMsOf(request)
        if (!hasWaited && !maySend(request)) continue
        const isSent = maySend(request) || (!isOver && maySendLate(request))
        waiting.delete(request.id)
        if (isSent) send(request)
        const admission = isSent ? SEND : refusal()
        decisions.push({ request, admission })
      }
      return decisions
    },
    remove(id) {
      waiting.delete(id)
    },
    end(slotMs) {
      own -= 1
      if (slotMs !== undefined) slotTime.add(slotMs)
    },
  }
}
