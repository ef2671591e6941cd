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
import { queueExitFailure } from './queueExitFailure.js'
import { QueueExitReason, exitReasonOf } from './queueExitReason.js'

/** Options for {@link createWaitingRouting}. */
export interface WaitingRoutingOptions {
  readonly routing: Routing
  readonly admission: Admission
  readonly configuration: () => Configuration
  /** Maximum wait of a request without a deadline, in milliseconds. */
  readonly maxWaitMs: number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

type SelectionResult = Result<TargetSlot, RequestFailure>

const RETRY_INTERVAL_MS = 20

/**
 * Wraps a routing so that a request waits while every target is at its bound.
 * The service's queue is paused meanwhile, which keeps later requests in order
 * of rank.
 */
export function createWaitingRouting(options: WaitingRoutingOptions): Routing {
  const { routing, admission, configuration, maxWaitMs, epochNow } = options
  const waitQueues = new Map<string, PQueue>()

  function waitQueueOf(service: string): PQueue {
    const existing = waitQueues.get(service)
    if (existing) return existing
    const created = new PQueue({ concurrency: 1 })
    waitQueues.set(service, created)
    return created
  }

  function mayWait(request: RoutedRequest, failure: RequestFailure): boolean {
    if (failure.code !== FailureCode.NoTarget) return false
    const targets = Object.values(configuration().targets)
    return targets.some(({ service }) => service === request.service)
  }

  async function retryUntilSelected(
    signal: AbortSignal,
    request: RoutedRequest,
  ): Promise<SelectionResult> {
    for (;;) {
      const selected = await routing.selectTarget(request, new Set())
      if (selected.isOk() && signal.aborted) selected.value.release()
      signal.throwIfAborted()
      if (selected.isOk() || !mayWait(request, selected.error)) return selected
      await sleep(RETRY_INTERVAL_MS, undefined, { signal })
    }
  }

  async function wait(request: RoutedRequest): Promise<SelectionResult> {
    const { deadlineAtMs, signal: callerSignal, service, rank } = request
    const waitMs =
      deadlineAtMs === undefined ? maxWaitMs : deadlineAtMs - epochNow()
    const waitTimeout = AbortSignal.timeout(Math.max(0, Math.ceil(waitMs)))
    const signal = AbortSignal.any([callerSignal, waitTimeout])
    try {
      const run = (): Promise<SelectionResult> =>
        retryUntilSelected(signal, request)
      const addOptions = { priority: -rank, signal }
      return await waitQueueOf(service).add(run, addOptions)
    } catch (error) {
      if (callerSignal.aborted)
        return err(queueExitFailure(exitReasonOf(callerSignal)))
      if (waitTimeout.aborted)
        return err(queueExitFailure(QueueExitReason.Expired))
      throw error
    }
  }

  return {
    ...routing,
    async selectTarget(request, exclude) {
      const selected = await routing.selectTarget(request, exclude)
      if (selected.isOk()) return ok(selected.value)
      if (exclude.size > 0 || !mayWait(request, selected.error)) return selected
      return admission.pauseDuring(request.service, () => wait(request))
    },
  }
}
