import { createWeightedShares } from './createWeightedShares.js'
import { effectiveRank } from './effectiveRank.js'
import type { WaitingRequest } from './waitingRequest.js'

/** How a queue orders and bounds its requests. */
export interface RequestQueueOptions {
  /** Requests that wait at most. */
  readonly capacity: number
  /** Milliseconds of waiting that improve a rank by one. */
  readonly ageingMs: number
}

/** A bounded queue: rank first, then weighted share, then deadline. */
export interface RequestQueue<T extends WaitingRequest> {
  readonly size: number
  /** Takes a request in; returns the one that is shed for it, if any. */
  offer(request: T): T | undefined
  /** Takes out the request that runs next. */
  take(nowMs: number): T | undefined
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
  const shares = createWeightedShares()

  function runsBefore(a: T, b: T, nowMs: number): boolean {
    const { ageingMs } = options
    const rank =
      effectiveRank(a, nowMs, ageingMs) - effectiveRank(b, nowMs, ageingMs)
    if (rank !== 0) return rank < 0
    const share = shares.share(a.customer) - shares.share(b.customer)
    if (share !== 0) return share < 0
    return a.deadlineAtMs < b.deadlineAtMs
  }

  // The latest arrival of the customer that crowds the queue most goes first.
  function isShedBefore(a: T, b: T): boolean {
    if (a.rank !== b.rank) return a.rank > b.rank
    const crowding =
      shares.waiting(a.customer) / a.weight -
      shares.waiting(b.customer) / b.weight
    if (crowding !== 0) return crowding > 0
    return a.enqueuedAtMs >= b.enqueuedAtMs
  }

  function remove(id: string): T | undefined {
    const request = waiting.get(id)
    if (!request) return undefined
    waiting.delete(id)
    shares.leave(request.customer)
    return request
  }

  function offer(request: T): T | undefined {
    waiting.set(request.id, request)
    shares.join(request.customer)
    if (waiting.size <= options.capacity) return undefined
    let victim = request
    for (const other of waiting.values())
      if (isShedBefore(other, victim)) victim = other
    return remove(victim.id)
  }

  function take(nowMs: number): T | undefined {
    let next: T | undefined
    for (const request of waiting.values())
      if (!next || runsBefore(request, next, nowMs)) next = request
    if (!next) return undefined
    shares.charge(next.customer, next.weight)
    return remove(next.id)
  }

  function countByRank(): Map<number, number> {
    const counts = new Map<number, number>()
    for (const { rank } of waiting.values())
      counts.set(rank, (counts.get(rank) ?? 0) + 1)
    return counts
  }

  return {
    offer,
    take,
    remove,
    countByRank,
    requests: () => waiting.values(),
    get size() {
      return waiting.size
    },
  }
}
