import {
  createMeanRunTime,
  queueCapacity,
  reservedSlots,
  type WaitingRequest,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import PQueue from 'p-queue'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import {
  createRankedQueueClass,
  type RankedAddOptions,
} from './createRankedQueueClass.js'
import { QueueExitReason, exitReasonOf } from './queueExitReason.js'

/** Releases the slot of a running request. */
export type Release = () => void

/** Request queue of one service. */
export interface ServiceQueue {
  readonly running: number
  readonly waiting: number
  /** Number of queued requests by rank. */
  waitingByRank(): Map<number, number>
  /**
   * Resolves once the request runs or has left the queue. `signal` aborts when
   * the caller disconnects or the deadline passes.
   */
  enqueue(
    request: WaitingRequest,
    signal: AbortSignal,
  ): Promise<Result<Release, QueueExitReason>>
  /** Sets how many requests may run at the same time. */
  setConcurrency(concurrency: number): void
  /** Starts no request until the returned function is called; may be nested. */
  pause(): () => void
}

type RankedPQueue = PQueue<
  InstanceType<ReturnType<typeof createRankedQueueClass>>,
  RankedAddOptions
>

const MAX_RANK = 9

/** Creates an empty queue with the order of `createRequestQueue`. */
export function createServiceQueue(
  settings: ResolvedSettings['queue'],
  now: () => number,
): ServiceQueue {
  let waiting = 0
  let running = 0
  let concurrency = Infinity
  let pauses = 0
  const runTime = createMeanRunTime()

  function capacity(): number {
    const { drainMs, maxWaiting } = settings
    const meanRunMs = runTime.meanMs
    return queueCapacity({ concurrency, meanRunMs, drainMs, maxWaiting })
  }

  function urgentOnly(): boolean {
    const reserved = reservedSlots(concurrency, settings.urgentShare)
    return reserved > 0 && running >= concurrency - reserved
  }

  const { ageingMs, shareHalfLifeMs } = settings
  const queueOptions = { capacity, ageingMs, shareHalfLifeMs }
  const queueClass = createRankedQueueClass(queueOptions, now, urgentOnly)
  const queue: RankedPQueue = new PQueue({ queueClass })

  function enqueue(
    request: WaitingRequest,
    signal: AbortSignal,
  ): Promise<Result<Release, QueueExitReason>> {
    return new Promise((resolve) => {
      const exit = new AbortController()
      const leaveQueue = (reason: QueueExitReason): void => {
        exit.abort(reason)
      }
      const onAbort = (): void => {
        leaveQueue(exitReasonOf(signal))
      }
      const expiry = setTimeout(
        leaveQueue,
        Math.max(0, request.deadlineAtMs - now()),
        QueueExitReason.Expired,
      )
      const resolveEntry = (result: Result<Release, QueueExitReason>): void => {
        waiting -= 1
        clearTimeout(expiry)
        signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
      waiting += 1
      signal.addEventListener('abort', onAbort, { once: true })
      if (signal.aborted) onAbort()
      const run = (): Promise<void> =>
        new Promise((release) => {
          running += 1
          const startedAtMs = now()
          resolveEntry(
            ok(() => {
              running -= 1
              runTime.add(now() - startedAtMs)
              release()
            }),
          )
        })
      const options = {
        id: request.id,
        request,
        signal: exit.signal,
        onShed: () => {
          leaveQueue(QueueExitReason.Shed)
        },
      }
      queue.add(run, options).catch(() => {
        resolveEntry(err(exit.signal.reason as QueueExitReason))
      })
    })
  }

  return {
    enqueue,
    get running() {
      return running
    },
    get waiting() {
      return waiting
    },
    waitingByRank() {
      const counts = new Map<number, number>()
      for (let rank = 0; rank <= MAX_RANK; rank += 1)
        counts.set(rank, queue.sizeBy({ priority: rank }))
      return counts
    },
    setConcurrency(next) {
      if (next === concurrency) return
      concurrency = next
      queue.concurrency = next
    },
    pause() {
      pauses += 1
      queue.pause()
      return () => {
        pauses -= 1
        if (pauses === 0) queue.start()
      }
    },
  }
}
