import {
  type Admission,
  AdmissionAction,
  type AdmissionRequest,
} from '../admission.js'
import { createOverloadQueue } from '../createOverloadQueue.js'

const SLOT_MS = 70
const SLOTS = 24
const ROUTERS = 8
export const STEP_MS = 5
const DIGEST_MS = 200

/** What a caller needs. */
export interface Caller {
  readonly rank: number
  readonly customer: string
  readonly dueMs: number
  readonly deadlineMs: number
}

/** What callers got. */
export interface Result {
  inTime: number
  late: number
  refused: number
  longestHoldMs: number
}

/** Number of callers that arrive in a step. */
export type Arrivals = (nowMs: number) => readonly Caller[]

/**
 * Plays arrivals at routers before targets with one common queue, first come, first
 * served. Each router hears of the others' requests every DIGEST_MS. Without
 * `isControlled`, requests are sent as they come.
 */
export function playArrivals(
  arrivals: Arrivals,
  endMs: number,
  isControlled: boolean,
): ReadonlyMap<string, Result> {
  let nowMs = 0
  let nextId = 0
  const known = Array.from({ length: ROUTERS }, () => 0)
  const own = Array.from({ length: ROUTERS }, () => 0)
  const running: { router: number; endsAtMs: number; startedAtMs: number }[] =
    []
  const queue: { router: number; request: AdmissionRequest }[] = []
  const results = new Map<string, Result>()
  const queues = known.map((_, router) =>
    createOverloadQueue<AdmissionRequest>({
      room: () => ({
        slots: SLOTS,
        peersInFlight: known[router] ?? 0,
        routers: ROUTERS,
      }),
      now: () => nowMs,
    }),
  )
  for (const overload of queues) {
    overload.offer(
      requestOf({ rank: 0, customer: 'c', dueMs: 1_000, deadlineMs: 2_000 }),
    )
    overload.end(SLOT_MS)
  }

  function requestOf(caller: Caller): AdmissionRequest {
    nextId += 1
    return {
      id: String(nextId),
      rank: caller.rank,
      customer: caller.customer,
      weight: 1,
      enqueuedAtMs: nowMs,
      dueAtMs: nowMs + caller.dueMs,
      deadlineAtMs: nowMs + caller.deadlineMs,
    }
  }

  function resultOf({ rank }: AdmissionRequest): Result {
    const key = `rank ${rank}`
    const result = results.get(key) ?? {
      inTime: 0,
      late: 0,
      refused: 0,
      longestHoldMs: 0,
    }
    results.set(key, result)
    return result
  }

  function apply(
    router: number,
    request: AdmissionRequest,
    { action }: Admission,
  ): void {
    const result = resultOf(request)
    if (action === AdmissionAction.Wait) return
    const heldMs = nowMs - request.enqueuedAtMs
    result.longestHoldMs = Math.max(result.longestHoldMs, heldMs)
    if (action === AdmissionAction.Refuse) {
      result.refused += 1
      return
    }
    own[router] = (own[router] ?? 0) + 1
    queue.push({ router, request })
  }

  for (; nowMs < endMs; nowMs += STEP_MS) {
    for (const [i, run] of [...running.entries()].reverse()) {
      if (run.endsAtMs > nowMs) continue
      running.splice(i, 1)
      own[run.router] = (own[run.router] ?? 0) - 1
      queues[run.router]?.end()
    }
    for (const caller of arrivals(nowMs)) {
      const request = requestOf(caller)
      // Callers come in turn of their ranks, of which each router gets all.
      const router = Math.floor(nextId / 2) % ROUTERS
      const admission: Admission = isControlled
        ? (queues[router]?.offer(request) ?? { action: AdmissionAction.Send })
        : { action: AdmissionAction.Send }
      apply(router, request, admission)
    }
    if (isControlled)
      for (const [router, overload] of queues.entries())
        for (const { request, admission } of overload.take())
          apply(router, request, admission)
    while (running.length < SLOTS) {
      const next = queue.shift()
      if (!next) break
      const endsAtMs = nowMs + SLOT_MS
      running.push({ router: next.router, endsAtMs, startedAtMs: nowMs })
      const result = resultOf(next.request)
      if (endsAtMs <= next.request.dueAtMs) result.inTime += 1
      else if (endsAtMs <= next.request.deadlineAtMs) result.late += 1
    }
    if (nowMs % DIGEST_MS === 0) {
      const total = own.reduce((sum, count) => sum + count, 0)
      for (const [router, count] of own.entries()) known[router] = total - count
    }
  }
  return results
}

/** Returns arrivals at a steady rate, in turn of the callers. */
export function steady(
  callers: readonly Caller[],
  perS: (nowMs: number) => number,
): Arrivals {
  let due = 0
  let turn = 0
  return (nowMs) => {
    due += (perS(nowMs) * STEP_MS) / 1_000
    const arriving: Caller[] = []
    for (; due >= 1; due -= 1) {
      const caller = callers[turn % callers.length]
      turn += 1
      if (caller) arriving.push(caller)
    }
    return arriving
  }
}

/** Requests that the targets run in a second. */
export const CAPACITY_PER_S = (SLOTS / SLOT_MS) * 1_000
