import type { Configuration, WaitingRequest } from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'
import type { Admission } from './admission.js'
import { createServiceQueue, type ServiceQueue } from './createServiceQueue.js'
import { queueExitFailure } from './queueExitFailure.js'
import type { CustomerLimits } from '../limits/customerLimits.js'

/** Options for {@link createAdmission}. */
export interface AdmissionOptions {
  readonly settings: ResolvedSettings['queue']
  readonly configuration: () => Configuration
  readonly limits: CustomerLimits
  /** Maximum number of requests of a service in flight from this router. */
  readonly concurrency: (service: string) => number
  readonly metrics: Metrics
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Interval at which services with queued requests get new concurrency. */
const REFRESH_INTERVAL_MS = 50
/** Interval between two reports of the queue lengths. */
const REPORT_INTERVAL_MS = 1_000

/** Creates admission control with one bounded queue per service. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { settings, configuration, limits, concurrency, metrics, now } = options
  const queues = new Map<string, ServiceQueue>()
  let refreshTimer: NodeJS.Timeout | undefined

  function queueOf(service: string): ServiceQueue {
    const existing = queues.get(service)
    if (existing) return existing
    const queue = createServiceQueue(settings, now)
    queues.set(service, queue)
    return queue
  }

  function toWaitingRequest(request: RoutedRequest): WaitingRequest {
    const { id, rank, customer, deadlineAtMs } = request
    const waitMs =
      deadlineAtMs === undefined
        ? settings.maxWaitMs
        : deadlineAtMs - options.epochNow()
    return {
      id,
      rank,
      customer,
      weight: configuration().customers[customer]?.weight ?? 1,
      enqueuedAtMs: now(),
      deadlineAtMs: now() + waitMs,
    }
  }

  async function admit(request: RoutedRequest) {
    const { service, customer, rank } = request
    const acquired = limits.acquire(customer)
    if (acquired.isErr()) return err(acquired.error)
    const releaseLimit = acquired.value
    const queue = queueOf(service)
    queue.setConcurrency(concurrency(service))
    const waiting = toWaitingRequest(request)
    const admission = queue.enqueue(waiting, request.signal)
    scheduleRefresh()
    const admitted = await admission
    const tags = { service, rank: String(rank) }
    metrics.timing('queue.wait', now() - waiting.enqueuedAtMs, tags)
    if (admitted.isErr()) {
      releaseLimit()
      metrics.count(`queue.${admitted.error}`, 1, tags)
      return err(queueExitFailure(admitted.error))
    }
    return ok({
      release: () => {
        releaseLimit()
        admitted.value()
      },
    })
  }

  function refreshConcurrency(): void {
    refreshTimer = undefined
    for (const [service, queue] of queues)
      if (queue.waiting > 0) queue.setConcurrency(concurrency(service))
    scheduleRefresh()
  }

  // No timer runs while all queues are empty: an idle router does no work.
  function scheduleRefresh(): void {
    if (refreshTimer || sumQueues((queue) => queue.waiting) === 0) return
    refreshTimer = setTimeout(refreshConcurrency, REFRESH_INTERVAL_MS)
  }

  function reportQueueLengths(): Promise<void> {
    for (const [service, queue] of queues) {
      for (const [rank, count] of queue.waitingByRank())
        metrics.gauge('queue.waiting', count, { service, rank: String(rank) })
    }
    return Promise.resolve()
  }

  function sumQueues(count: (queue: ServiceQueue) => number): number {
    let total = 0
    for (const queue of queues.values()) total += count(queue)
    return total
  }

  const reportLoop = createLoop(
    reportQueueLengths,
    REPORT_INTERVAL_MS,
    () => undefined,
  )
  return {
    admit,
    inFlightByCustomer: () => limits.inFlight(),
    ratesByCustomer: () => limits.rates(),
    async pauseDuring(service, wait) {
      const resume = queueOf(service).pause()
      try {
        return await wait()
      } finally {
        resume()
      }
    },
    get running() {
      return sumQueues((queue) => queue.running)
    },
    get waiting() {
      return sumQueues((queue) => queue.waiting)
    },
    stop: async () => {
      clearTimeout(refreshTimer)
      await reportLoop.stop()
    },
  }
}
