import {
  createMeanRunTime,
  createRequestQueue,
  queueCapacity,
  reservedSlots,
} from '@auburnbay/core'
import type { TraceRequest } from './createTrace.js'

/** A queue under measurement. */
export interface QueuePolicy {
  offer(request: TraceRequest): readonly TraceRequest[]
  take(nowMs: number, running: number): TraceRequest | undefined
  remove(id: string): void
  /** Tells that a request ran for so long. */
  ran(runMs: number): void
  waiting(): Iterable<TraceRequest>
}

/** Bounds how many requests may wait at the moment. */
export interface CapacityRule {
  capacity(): number
  /** Tells that the queue changed. */
  changed(nowMs: number, size: number): void
  ran(runMs: number): void
}

/** Milliseconds of waiting that improve a rank by one, as the default. */
export const AGEING_MS = 10_000
/** Milliseconds that halve a customer's past service, as the default. */
export const SHARE_HALF_LIFE_MS = 10_000

/** Allows a fixed number of waiting requests. */
export function staticRule(maxWaiting: number): CapacityRule {
  return {
    capacity: () => maxWaiting,
    changed: () => undefined,
    ran: () => undefined,
  }
}

/** Allows what is worked off within `drainMs`. */
export function drainRule(
  concurrency: number,
  drainMs: number,
  maxWaiting: number,
): CapacityRule {
  const time = createMeanRunTime()
  return {
    capacity: () =>
      queueCapacity({
        concurrency,
        meanRunMs: time.meanMs,
        drainMs,
        maxWaiting,
      }),
    changed: () => undefined,
    ran: (runMs) => {
      time.add(runMs)
    },
  }
}

/** The core's queue, as the daemon uses it. */
export function rankedPolicy(
  places: number,
  rule: CapacityRule,
  urgentShare: number,
): QueuePolicy {
  const queue = createRequestQueue<TraceRequest>({
    capacity: () => rule.capacity(),
    ageingMs: AGEING_MS,
    shareHalfLifeMs: SHARE_HALF_LIFE_MS,
  })
  const reserved = reservedSlots(places, urgentShare)
  return {
    ran: (runMs) => {
      rule.ran(runMs)
    },
    offer(request) {
      rule.changed(request.enqueuedAtMs, queue.size + 1)
      return queue.enqueue(request)
    },
    take(nowMs, running) {
      if (running >= places) return undefined
      const taken =
        running < places - reserved
          ? queue.dequeue(nowMs)
          : queue.dequeueUrgent(nowMs)
      rule.changed(nowMs, queue.size)
      return taken
    },
    remove: (id) => queue.remove(id),
    waiting: () => queue.requests(),
  }
}

/** Baseline: first come, first served; a full queue refuses the newcomer. */
export function fifoPolicy(places: number, maxWaiting: number): QueuePolicy {
  const queue = new Map<string, TraceRequest>()
  return {
    offer(request) {
      if (queue.size >= maxWaiting) return [request]
      queue.set(request.id, request)
      return []
    },
    take(_nowMs, running) {
      if (running >= places) return undefined
      for (const [id, request] of queue) {
        queue.delete(id)
        return request
      }
      return undefined
    },
    remove: (id) => {
      queue.delete(id)
    },
    ran: () => undefined,
    waiting: () => queue.values(),
  }
}
