import { effectiveRank } from '@auburnbay/core'
import type { TraceRequest } from './createTrace.js'
import { EventHeap, type TimedEvent } from './eventHeap.js'
import { AGEING_MS, type QueuePolicy } from './queuePolicy.js'

/** How a request of a trace ended. */
export enum Ending {
  Served = 'served',
  Shed = 'shed',
  Expired = 'expired',
}

/** One request and how it ended. */
export interface QueueResult {
  readonly request: TraceRequest
  readonly ending: Ending
  /** Milliseconds until it started, or until its caller was refused. */
  readonly waitMs: number
}

/** What a queue did with a trace. */
export interface QueueRun {
  readonly results: readonly QueueResult[]
  /** Starts ahead of a waiting request that came first after ageing. */
  readonly inversions: number
  /** Requests shed though one of a lower rank waited. */
  readonly wrongSheds: number
}

enum EventKind {
  Arrival = 'arrival',
  End = 'end',
  Expiry = 'expiry',
}

interface QueueEvent extends TimedEvent {
  readonly kind: EventKind
  readonly request: TraceRequest
}

/** Runs a trace against a queue before `places` places. */
export function runQueue(
  trace: readonly TraceRequest[],
  policy: QueuePolicy,
): QueueRun {
  const events = new EventHeap<QueueEvent>()
  const results: QueueResult[] = []
  const waiting = new Set<TraceRequest>()
  let running = 0
  let inversions = 0
  let wrongSheds = 0

  function end(request: TraceRequest, ending: Ending, nowMs: number): void {
    waiting.delete(request)
    const waitMs = nowMs - request.enqueuedAtMs
    results.push({ request, ending, waitMs })
  }

  function isInverted(started: TraceRequest, nowMs: number): boolean {
    const rank = effectiveRank(started, nowMs, AGEING_MS)
    for (const other of waiting)
      if (
        other.rank < started.rank &&
        effectiveRank(other, nowMs, AGEING_MS) < rank
      )
        return true
    return false
  }

  function startAll(nowMs: number): void {
    for (;;) {
      const next = policy.take(nowMs, running)
      if (!next) return
      end(next, Ending.Served, nowMs)
      if (isInverted(next, nowMs)) inversions += 1
      running += 1
      const atMs = nowMs + next.runMs
      events.push({ atMs, kind: EventKind.End, request: next })
    }
  }

  function arrive(request: TraceRequest, nowMs: number): void {
    waiting.add(request)
    for (const shed of policy.offer(request)) {
      end(shed, Ending.Shed, nowMs)
      for (const other of waiting)
        if (other.rank > shed.rank) {
          wrongSheds += 1
          break
        }
    }
    const atMs = request.deadlineAtMs
    if (waiting.has(request))
      events.push({ atMs, kind: EventKind.Expiry, request })
  }

  for (const request of trace)
    events.push({
      atMs: request.enqueuedAtMs,
      kind: EventKind.Arrival,
      request,
    })
  for (;;) {
    const event = events.pop()
    if (!event) return { results, inversions, wrongSheds }
    const { kind, request, atMs } = event
    switch (kind) {
      case EventKind.Arrival:
        arrive(request, atMs)
        break
      case EventKind.End:
        running -= 1
        policy.ran(request.runMs)
        break
      case EventKind.Expiry:
        if (!waiting.has(request)) break
        policy.remove(request.id)
        end(request, Ending.Expired, atMs)
        break
    }
    startAll(atMs)
  }
}
