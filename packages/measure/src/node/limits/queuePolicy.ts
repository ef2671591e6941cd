import {
  createMeanRunTime,
  createRequestQueue,
  queueCapacity,
  reservedSlots,
} from '@auburnbay/core'
import type { TraceRequest } from './createTrace.js'

/** Queue under measurement. */
export interface QueuePolicy {
  /** Adds a request; returns the requests shed for it. */
  enqueue(request: TraceRequest): readonly TraceRequest[]
  /** Removes the next request to start; undefined if none may start. */
  dequeue(nowMs: number, running: number): TraceRequest | undefined
  remove(id: string): void
  /** Records the run time of a request that ended. */
  recordRunTime(runMs: number): void
  waiting(): Iterable<TraceRequest>
}

/** Limits the number of waiting requests. */
export interface CapacityRule {
  capacity(): number
  /** Records the size of the queue after a change. */
  recordSize(nowMs: number, size: number): void
  recordRunTime(runMs: number): void
}

/** Milliseconds of waiting that improve a rank by one; the daemon's default. */
export const AGEING_MS = 10_000
/** Half-life of a customer's past service; the daemon's default. */
export const SHARE_HALF_LIFE_MS = 10_000

/** Creates a rule that allows a fixed number of waiting requests. */
export function createStaticRule(maxWaiting: number): CapacityRule {
  return {
    capacity: () => maxWaiting,
    recordSize: () => undefined,
    recordRunTime: () => undefined,
  }
}

/** Creates a rule that allows as many requests as drain within `drainMs`. */
export function createDrainTimeRule(
  concurrency: number,
  drainMs: number,
  maxWaiting: number,
): CapacityRule {
  const meanRunTime = createMeanRunTime()
  return {
    capacity: () =>
      queueCapacity({
        concurrency,
        meanRunMs: meanRunTime.meanMs,
        drainMs,
        maxWaiting,
      }),
    recordSize: () => undefined,
    recordRunTime: (runMs) => {
      meanRunTime.add(runMs)
    },
  }
}

/** Creates a policy with core's request queue, as the daemon uses it. */
export function createRankedPolicy(
  slots: number,
  rule: CapacityRule,
  urgentShare: number,
): QueuePolicy {
  const queue = createRequestQueue<TraceRequest>({
    capacity: () => rule.capacity(),
    ageingMs: AGEING_MS,
    shareHalfLifeMs: SHARE_HALF_LIFE_MS,
  })
  const reserved = reservedSlots(slots, urgentShare)
  return {
    recordRunTime: (runMs) => {
      rule.recordRunTime(runMs)
    },
    enqueue(request) {
      rule.recordSize(request.enqueuedAtMs, queue.size + 1)
      return queue.enqueue(request)
    },
    dequeue(nowMs, running) {
      if (running >= slots) return undefined
      const request =
        running < slots - reserved
          ? queue.dequeue(nowMs)
          : queue.dequeueUrgent(nowMs)
      rule.recordSize(nowMs, queue.size)
      return request
    },
    remove: (id) => queue.remove(id),
    waiting: () => queue.requests(),
  }
}

/** Creates the baseline: a FIFO queue that rejects new requests when full. */
export function createFifoPolicy(
  slots: number,
  maxWaiting: number,
): QueuePolicy {
  const queue = new Map<string, TraceRequest>()
  return {
    enqueue(request) {
      if (queue.size >= maxWaiting) return [request]
      queue.set(request.id, request)
      return []
    },
    dequeue(_nowMs, running) {
      if (running >= slots) return undefined
      for (const [id, request] of queue) {
        queue.delete(id)
        return request
      }
      return undefined
    },
    remove: (id) => {
      queue.delete(id)
    },
    recordRunTime: () => undefined,
    waiting: () => queue.values(),
  }
}
