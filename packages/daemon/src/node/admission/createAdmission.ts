import type { Configuration, WaitingRequest } from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'
import type { Admission } from './admission.js'
import { createServiceQueue, type ServiceQueue } from './createServiceQueue.js'
import { leaveFailure } from './leaveFailure.js'
import type { CustomerLimits } from '../limits/customerLimits.js'

/** What admission works with. */
export interface AdmissionOptions {
  readonly settings: ResolvedSettings['queue']
  readonly configuration: () => Configuration
  readonly limits: CustomerLimits
  /** Requests of a service that this router may have in flight. */
  readonly concurrency: (service: string) => number
  readonly metrics: Metrics
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Milliseconds between two looks at the room that peers leave. */
const REFRESH_MS = 50
/** Milliseconds between two reports of the queues' lengths. */
const REPORT_MS = 1_000

/** Creates admission with a bounded queue for each service. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { settings, configuration, limits, concurrency, metrics, now } = options
  const queues = new Map<string, ServiceQueue>()
  let refreshing: NodeJS.Timeout | undefined

  function queueOf(service: string): ServiceQueue {
    const known = queues.get(service)
    if (known) return known
    const queue = createServiceQueue(settings, now)
    queues.set(service, queue)
    return queue
  }

  function toWaiting(request: RoutedRequest): WaitingRequest {
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

  async function enter(request: RoutedRequest) {
    const { service, customer, rank } = request
    const taken = limits.take(customer)
    if (taken.isErr()) return err(taken.error)
    const queue = queueOf(service)
    queue.setConcurrency(concurrency(service))
    const waiting = toWaiting(request)
    const turn = queue.enter(waiting, request.signal)
    refreshLater()
    const entered = await turn
    const tags = { service, rank: String(rank) }
    metrics.timing('queue.wait', now() - waiting.enqueuedAtMs, tags)
    if (entered.isErr()) {
      taken.value()
      metrics.count(`queue.${entered.error}`, 1, tags)
      return err(leaveFailure(entered.error))
    }
    return ok({
      release: () => {
        taken.value()
        entered.value()
      },
    })
  }

  function refresh(): void {
    refreshing = undefined
    for (const [service, queue] of queues)
      if (queue.waiting > 0) queue.setConcurrency(concurrency(service))
    refreshLater()
  }

  // Nothing is looked at while nothing waits: an idle router stays idle.
  function refreshLater(): void {
    if (refreshing || sum((queue) => queue.waiting) === 0) return
    refreshing = setTimeout(refresh, REFRESH_MS)
  }

  function report(): Promise<void> {
    for (const [service, queue] of queues) {
      for (const [rank, count] of queue.waitingByRank())
        metrics.gauge('queue.waiting', count, { service, rank: String(rank) })
    }
    return Promise.resolve()
  }

  function sum(count: (queue: ServiceQueue) => number): number {
    let total = 0
    for (const queue of queues.values()) total += count(queue)
    return total
  }

  const reports = createLoop(report, REPORT_MS, () => undefined)
  return {
    enter,
    inFlightByCustomer: () => limits.inFlight(),
    ratesByCustomer: () => limits.rates(),
    async holdBack(service, wait) {
      const resume = queueOf(service).holdBack()
      try {
        return await wait()
      } finally {
        resume()
      }
    },
    get running() {
      return sum((queue) => queue.running)
    },
    get waiting() {
      return sum((queue) => queue.waiting)
    },
    stop: async () => {
      clearTimeout(refreshing)
      await reports.stop()
    },
  }
}
