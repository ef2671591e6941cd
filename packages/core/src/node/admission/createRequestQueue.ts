import { createWeightedShares } from './createWeightedShares.js'
import { effectiveRank } from './effectiveRank.js'
import type { WaitingRequest } from './waitingRequest.js'

/** Rank for which a part of the slots is reserved. */
const URGENT_RANK = 0

/** Options for {@link createRequestQueue}. */
export interface RequestQueueOptions {
  /** Returns the number of requests that may wait now. */
  readonly capacity: () => number
  /** Milliseconds of waiting that raise the priority by one rank. */
  readonly ageingMs: number
  /** Half-life of a customer's past service, in milliseconds. */
  readonly shareHalfLifeMs: number
}

/** Bounded queue ordered by rank, then weighted share, then deadline. */
export interface RequestQueue<T extends WaitingRequest> {
  readonly size: number
  /** Adds a request; returns the requests shed to stay within capacity. */
  enqueue(request: T): T[]
  /** Removes and returns the request that runs next. */
  dequeue(nowMs: number): T | undefined
  /** Removes and returns the next request of rank 0. */
  dequeueUrgent(nowMs: number): T | undefined
  /** Number of waiting requests of rank 0. */
  readonly urgentSize: number
  /** Removes a request that is no longer needed. */
  remove(id: string): T | undefined
  /** Returns the number of waiting requests by rank. */
  countByRank(): Map<number, number>
  /** Returns the waiting requests in order of arrival. */
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

  // Within a rank, the last request of the customer with the largest share,
  // waiting requests included, is shed first.
  function isShedBefore(a: T, b: T, nowMs: number): boolean {
    if (a.rank !== b.rank) return a.rank > b.rank
    const share =
      shares.shareWithWaiting(a.customer, a.weight, nowMs) -
      shares.shareWithWaiting(b.customer, b.weight, nowMs)
    if (share !== 0) return share > 0
    return a.enqueuedAtMs >= b.enqueuedAtMs
  }

  function remove(id: string): T | undefined {
    const request = waiting.get(id)
    if (!request) return undefined
    waiting.delete(id)
    shares.removeWaiting(request.customer)
    return request
  }

  function findShedCandidate(nowMs: number): T | undefined {
    let candidate: T | undefined
    for (const request of waiting.values())
      if (!candidate || isShedBefore(request, candidate, nowMs))
        candidate = request
    return candidate
  }

  function enqueue(request: T): T[] {
    waiting.set(request.id, request)
    shares.addWaiting(request.customer)
    const shed: T[] = []
    const capacity = options.capacity()
    while (waiting.size > capacity) {
      const candidate = findShedCandidate(request.enqueuedAtMs)
      if (!candidate) break
      remove(candidate.id)
      shed.push(candidate)
    }
    return shed
  }

  function removeAndCharge(next: T | undefined, nowMs: number): T | undefined {
    if (!next) return undefined
    shares.charge(next.customer, nowMs)
    return remove(next.id)
  }

  function dequeue(nowMs: number): T | undefined {
    let next: T | undefined
    for (const request of waiting.values())
      if (!next || runsBefore(request, next, nowMs)) next = request
    return removeAndCharge(next, nowMs)
  }

  function dequeueUrgent(nowMs: number): T | undefined {
    let next: T | undefined
    for (const request of waiting.values()) {
      if (request.rank !== URGENT_RANK) continue
      if (!next || runsBefore(request, next, nowMs)) next = request
    }
    return removeAndCharge(next, nowMs)
  }

  function countByRank(): Map<number, number> {
    const counts = new Map<number, number>()
    for (const { rank } of waiting.values())
      counts.set(rank, (counts.get(rank) ?? 0) + 1)
    return counts
  }

  return {
    enqueue,
    dequeue,
    dequeueUrgent,
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
