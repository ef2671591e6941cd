import { effectiveRank } from '@auburnbay/core'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import type { TraceRequest } from './createTrace.js'
import { AGEING_MS, type QueuePolicy } from './queuePolicy.js'

/** Outcome of a queued request. */
export enum QueueOutcome {
  Served = 'served',
  Shed = 'shed',
  Expired = 'expired',
}

/** A request and its outcome. */
export interface QueueResult {
  readonly request: TraceRequest
  readonly outcome: QueueOutcome
  /** Milliseconds until the request started or was rejected. */
  readonly waitMs: number
}

/** Results of a trace. */
export interface QueueRun {
  readonly results: readonly QueueResult[]
  /** Starts ahead of a waiting request with a better rank, also after ageing. */
  readonly inversions: number
  /** Requests shed while a request of a worse rank waited. */
  readonly wrongSheds: number
}

/** Runs a trace against a queue in virtual time. */
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

  function recordOutcome(
    request: TraceRequest,
    outcome: QueueOutcome,
    nowMs: number,
  ): void {
    waiting.delete(request)
    const waitMs = nowMs - request.enqueuedAtMs
    results.push({ request, outcome, waitMs })
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

  function startWaiting(nowMs: number): void {
    for (;;) {
      const next = policy.dequeue(nowMs, running)
      if (!next) return
      recordOutcome(next, QueueOutcome.Served, nowMs)
      if (isInverted(next, nowMs)) inversions += 1
      running += 1
      events.at(nowMs + next.runMs, () => {
        running -= 1
        policy.recordRunTime(next.runMs)
        startWaiting(events.nowMs)
      })
    }
  }

  function expire(request: TraceRequest, nowMs: number): void {
    if (!waiting.has(request)) return
    policy.remove(request.id)
    recordOutcome(request, QueueOutcome.Expired, nowMs)
  }

  function arrive(request: TraceRequest, nowMs: number): void {
    waiting.add(request)
    for (const shed of policy.enqueue(request)) {
      recordOutcome(shed, QueueOutcome.Shed, nowMs)
      for (const other of waiting)
        if (other.rank > shed.rank) {
          wrongSheds += 1
          break
        }
    }
    if (waiting.has(request))
      events.at(request.deadlineAtMs, () => {
        expire(request, request.deadlineAtMs)
        startWaiting(request.deadlineAtMs)
      })
  }

  for (const request of trace)
    events.at(request.enqueuedAtMs, () => {
      arrive(request, request.enqueuedAtMs)
      startWaiting(request.enqueuedAtMs)
    })
  events.runUntil(Infinity)
  return { results, inversions, wrongSheds }
}
