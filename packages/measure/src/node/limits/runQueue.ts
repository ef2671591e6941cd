import { effectiveRank } from '@auburnbay/core'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import type { TraceRequest } from './createTrace.js'
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

/** Runs a trace against a queue before `places` places. */
export function runQueue(
  trace: readonly TraceRequest[],
  policy: QueuePolicy,
): QueueRun {
  const events = createEventQueue()
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
      events.at(nowMs + next.runMs, () => {
        running -= 1
        policy.ran(next.runMs)
        startAll(events.nowMs)
      })
    }
  }

  function expire(request: TraceRequest, nowMs: number): void {
    if (!waiting.has(request)) return
    policy.remove(request.id)
    end(request, Ending.Expired, nowMs)
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
    if (waiting.has(request))
      events.at(request.deadlineAtMs, () => {
        expire(request, request.deadlineAtMs)
        startAll(request.deadlineAtMs)
      })
  }

  for (const request of trace)
    events.at(request.enqueuedAtMs, () => {
      arrive(request, request.enqueuedAtMs)
      startAll(request.enqueuedAtMs)
    })
  events.runUntil(Infinity)
  return { results, inversions, wrongSheds }
}
