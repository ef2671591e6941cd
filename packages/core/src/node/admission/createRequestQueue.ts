import { createWeightedShares } from './createWeightedShares.js'
import { effectiveRank } from './effectiveRank.js'
import type { WaitingRequest } from './waitingRequest.js'

/** Rank for which a part of the places is kept free. */
const URGENT_RANK = 0

/** How a queue orders and bounds its requests. */
export interface RequestQueueOptions {
  /** Requests that may wait at the moment. */
  readonly capacity: () => number
  /** Milliseconds of waiting that improve a rank by one. */
  readonly ageingMs: number
  /** Milliseconds in which half of a customer's past service is forgotten. */
  readonly shareHalfLifeMs: number
}

/** A bounded queue: rank first, then weighted share, then deadline. */
export interface RequestQueue<T extends WaitingRequest> {
  readonly size: number
  /** Takes a request in; returns those that are shed to keep the capacity. */
  enqueue(request: T): T[]
  /** Takes out the request that runs next. */
  dequeue(nowMs: number): T | undefined
  /** Takes out the next request of rank 0. */
  dequeueUrgent(nowMs: number): T | undefined
  /** Requests of rank 0 that wait. */
  readonly urgentSize: number
  /** Takes a request out that is no longer wanted. */
  remove(id: string): T | undefined
  /** Requests that wait, by rank. */
  countByRank(): Map<number, number>
  /** The requests that wait, in order of arrival. */
  requests(): Iterable<T>
}

/** Creates an empty queue. */
export function createRequestQueue<T extends WaitingRequest>(
  options: RequestQueueOptions,
): RequestQueue<T> {
  const waiting = new Map<string, T>()
  const shares = createWeightedShares(options.shareHalfLifeMs)

  function runsBefore(a: T, b: T, nowMs: number): boolean {
    const { ageingMs } = options
    const rank =
      effectiveRank(a, nowMs, ageingMs) - effectiveRank(b, nowMs, ageingMs)
    if (rank !== 0) return rank < 0
    const share =
      shares.share(a.customer, a.weight, nowMs) -
      shares.share(b.customer, b.weight, nowMs)
    if (share !== 0) return share < 0
    return a.deadlineAtMs < b.deadlineAtMs
  }

  // The latest arrival of the customer that claims most goes first.
  function isShedBefore(a: T, b: T, nowMs: number): boolean {
    if (a.rank !== b.rank) return a.rank > b.rank
    const claimed =
      shares.claimedShare(a.customer, a.weight, nowMs) -
      shares.claimedShare(b.customer, b.weight, nowMs)
    if (claimed !== 0) return claimed > 0
    return a.enqueuedAtMs >= b.enqueuedAtMs
  }

  function remove(id: string): T | undefined {
    const request = waiting.get(id)
    if (!request) return undefined
    waiting.delete(id)
    shares.leave(request.customer)
    return request
  }

  function findVictim(nowMs: number): T | undefined {
    let victim: T | undefined
    for (const request of waiting.values())
      if (!victim || isShedBefore(request, victim, nowMs)) victim = request
    return victim
  }

  function offer(request: T): T[] {
    waiting.set(request.id, request)
    shares.join(request.customer)
    const shed: T[] = []
    const capacity = options.capacity()
    while (waiting.size > capacity) {
      const victim = findVictim(request.enqueuedAtMs)
      if (!victim) break
      remove(victim.id)
      shed.push(victim)
    }
    return shed
  }

  function takeOut(next: T | undefined, nowMs: number): T | undefined {
    if (!next) return undefined
    shares.charge(next.customer, nowMs)
    return remove(next.id)
  }

  function take(nowMs: number): T | undefined {
    let next: T | undefined
    for (const request of waiting.values())
      if (!next || runsBefore(request, next, nowMs)) next = request
    return takeOut(next, nowMs)
  }

  function takeUrgent(nowMs: number): T | undefined {
    let next: T | undefined
    for (const request of waiting.values()) {
      if (request.rank !== URGENT_RANK) continue
      if (!next || runsBefore(request, next, nowMs)) next = request
    }
    return takeOut(next, nowMs)
  }

  function countByRank(): Map<number, number> {
    const counts = new Map<number, number>()
    for (const { rank } of waiting.values())
      counts.set(rank, (counts.get(rank) ?? 0) + 1)
    return counts
  }

  return {
    enqueue: offer,
    dequeue: take,
    dequeueUrgent: takeUrgent,
    remove,
    countByRank,
    requests: () => waiting.values(),
    get urgentSize() {
      let count = 0
      for (const { rank } of waiting.values())
        if (rank === URGENT_RANK) count += 1
      return count
    },
    get size() {
      return waiting.size
    },
  }
}
