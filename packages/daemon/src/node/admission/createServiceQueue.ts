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
  type RankedOptions,
} from './createRankedQueueClass.js'
import { LeaveReason, reasonOf } from './leaveReason.js'

/** Gives the place of a request in flight back. */
export type Release = () => void

/** The queue of one service. */
export interface ServiceQueue {
  readonly running: number
  readonly waiting: number
  /** Requests that wait, by rank. */
  waitingByRank(): Map<number, number>
  /** Waits for a turn; `signal` is aborted once the caller has gone away. */
  enter(
    request: WaitingRequest,
    signal: AbortSignal,
  ): Promise<Result<Release, LeaveReason>>
  /** Lets so many requests run from now on. */
  setConcurrency(concurrency: number): void
  /** Starts nothing until the returned function is called. */
  holdBack(): () => void
}

type RankedPQueue = PQueue<
  InstanceType<ReturnType<typeof createRankedQueueClass>>,
  RankedOptions
>

const HIGHEST_RANK = 9

/** Creates an empty queue; the order is that of `createRequestQueue`. */
export function createServiceQueue(
  settings: ResolvedSettings['queue'],
  now: () => number,
): ServiceQueue {
  let waiting = 0
  let running = 0
  let concurrency = Infinity
  let holds = 0
  const time = createMeanRunTime()

  function capacity(): number {
    const { drainMs, maxWaiting } = settings
    const meanRunMs = time.meanMs
    return queueCapacity({ concurrency, meanRunMs, drainMs, maxWaiting })
  }

  function urgentOnly(): boolean {
    const reserved = reservedSlots(concurrency, settings.urgentShare)
    return reserved > 0 && running >= concurrency - reserved
  }

  const { ageingMs, shareHalfLifeMs } = settings
  const order = { capacity, ageingMs, shareHalfLifeMs }
  const queueClass = createRankedQueueClass(order, now, urgentOnly)
  const queue: RankedPQueue = new PQueue({ queueClass })

  function enter(
    request: WaitingRequest,
    signal: AbortSignal,
  ): Promise<Result<Release, LeaveReason>> {
    return new Promise((resolve) => {
      const left = new AbortController()
      const leave = (reason: LeaveReason): void => {
        left.abort(reason)
      }
      const onGone = (): void => {
        leave(reasonOf(signal))
      }
      const expiry = setTimeout(
        leave,
        Math.max(0, request.deadlineAtMs - now()),
        LeaveReason.Expired,
      )
      const settle = (result: Result<Release, LeaveReason>): void => {
        waiting -= 1
        clearTimeout(expiry)
        signal.removeEventListener('abort', onGone)
        resolve(result)
      }
      waiting += 1
      signal.addEventListener('abort', onGone, { once: true })
      if (signal.aborted) onGone()
      const run = (): Promise<void> =>
        new Promise((release) => {
          running += 1
          const startedAtMs = now()
          settle(
            ok(() => {
              running -= 1
              time.add(now() - startedAtMs)
              release()
            }),
          )
        })
      const options = {
        id: request.id,
        request,
        signal: left.signal,
        onShed: () => {
          leave(LeaveReason.Shed)
        },
      }
      queue.add(run, options).catch(() => {
        settle(err(left.signal.reason as LeaveReason))
      })
    })
  }

  return {
    enter,
    get running() {
      return running
    },
    get waiting() {
      return waiting
    },
    waitingByRank() {
      const counts = new Map<number, number>()
      for (let rank = 0; rank <= HIGHEST_RANK; rank += 1)
        counts.set(rank, queue.sizeBy({ priority: rank }))
      return counts
    },
    setConcurrency(wanted) {
      if (wanted === concurrency) return
      concurrency = wanted
      queue.concurrency = wanted
    },
    holdBack() {
      holds += 1
      queue.pause()
      return () => {
        holds -= 1
        if (holds === 0) queue.start()
      }
    },
  }
}
