import { setTimeout as sleep } from 'node:timers/promises'
import {
  type Configuration,
  FailureCode,
  type RequestFailure,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import PQueue from 'p-queue'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetSlot, Routing } from '../routing/routing.js'
import type { Admission } from './admission.js'
import { leaveFailure } from './leaveFailure.js'
import { LeaveReason, reasonOf } from './leaveReason.js'

/** What waiting for a place works with. */
export interface WaitingRoutingOptions {
  readonly routing: Routing
  readonly admission: Admission
  readonly configuration: () => Configuration
  /** Longest wait of a request without a deadline, in milliseconds. */
  readonly maxWaitMs: number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

type Placed = Result<TargetSlot, RequestFailure>

const TRY_AGAIN_MS = 20

/**
 * Lets a request wait while every target is at its bound. Meanwhile the queue
 * of its service stands still, so that later requests stay in order of rank.
 */
export function createWaitingRouting(options: WaitingRoutingOptions): Routing {
  const { routing, admission, configuration, maxWaitMs, epochNow } = options
  const waiters = new Map<string, PQueue>()

  function waitersOf(service: string): PQueue {
    const known = waiters.get(service)
    if (known) return known
    const created = new PQueue({ concurrency: 1 })
    waiters.set(service, created)
    return created
  }

  function mayWait(request: RoutedRequest, failure: RequestFailure): boolean {
    if (failure.code !== FailureCode.NoTarget) return false
    const targets = Object.values(configuration().targets)
    return targets.some(({ service }) => service === request.service)
  }

  async function tryUntil(
    signal: AbortSignal,
    request: RoutedRequest,
  ): Promise<Placed> {
    for (;;) {
      const placed = await routing.place(request, new Set())
      if (placed.isOk() && signal.aborted) placed.value.release()
      signal.throwIfAborted()
      if (placed.isOk() || !mayWait(request, placed.error)) return placed
      await sleep(TRY_AGAIN_MS, undefined, { signal })
    }
  }

  async function wait(request: RoutedRequest): Promise<Placed> {
    const { deadlineAtMs, signal: gone, service, rank } = request
    const waitMs =
      deadlineAtMs === undefined ? maxWaitMs : deadlineAtMs - epochNow()
    const expired = AbortSignal.timeout(Math.max(0, Math.ceil(waitMs)))
    const signal = AbortSignal.any([gone, expired])
    try {
      const run = (): Promise<Placed> => tryUntil(signal, request)
      const order = { priority: -rank, signal }
      return await waitersOf(service).add(run, order)
    } catch (error) {
      if (gone.aborted) return err(leaveFailure(reasonOf(gone)))
      if (expired.aborted) return err(leaveFailure(LeaveReason.Expired))
      throw error
    }
  }

  return {
    ...routing,
    async place(request, exclude) {
      const placed = await routing.place(request, exclude)
      if (placed.isOk()) return ok(placed.value)
      if (exclude.size > 0 || !mayWait(request, placed.error)) return placed
      return admission.holdBack(request.service, () => wait(request))
    },
  }
}
