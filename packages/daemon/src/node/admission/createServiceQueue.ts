import type { WaitingRequest } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import PQueue from 'p-queue'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createRankedQueueClass } from './createRankedQueueClass.js'
import { LeaveReason } from './leaveReason.js'

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

const HIGHEST_RANK = 9

/** Creates an empty queue; the order is that of `createRequestQueue`. */
export function createServiceQueue(
  settings: ResolvedSettings['queue'],
  now: () => number,
): ServiceQueue {
  const order = { capacity: settings.maxWaiting, ageingMs: settings.ageingMs }
  const queue = new PQueue({ queueClass: createRankedQueueClass(order, now) })
  let holds = 0

  function enter(
    request: WaitingRequest,
    signal: AbortSignal,
  ): Promise<Result<Release, LeaveReason>> {
    return new Promise((resolve) => {
      const waiting = new AbortController()
      const leave = (reason: LeaveReason): void => {
        waiting.abort(reason)
      }
      const onGone = (): void => {
        leave(LeaveReason.CallerGone)
      }
      const expiry = setTimeout(
        leave,
        Math.max(0, request.deadlineAtMs - now()),
        LeaveReason.Expired,
      )
      const settle = (result: Result<Release, LeaveReason>): void => {
        clearTimeout(expiry)
        signal.removeEventListener('abort', onGone)
        resolve(result)
      }
      signal.addEventListener('abort', onGone, { once: true })
      if (signal.aborted) onGone()
      const run = (): Promise<void> =>
        new Promise((release) => {
          settle(ok(release))
        })
      const options = {
        id: request.id,
        request,
        signal: waiting.signal,
        onShed: () => {
          leave(LeaveReason.Shed)
        },
      }
      queue.add(run, options).catch(() => {
        settle(err(waiting.signal.reason as LeaveReason))
      })
    })
  }

  return {
    enter,
    get running() {
      return queue.pending
    },
    get waiting() {
      return queue.size
    },
    waitingByRank() {
      const counts = new Map<number, number>()
      for (let rank = 0; rank <= HIGHEST_RANK; rank += 1)
        counts.set(rank, queue.sizeBy({ priority: rank }))
      return counts
    },
    setConcurrency(concurrency) {
      if (queue.concurrency !== concurrency) queue.concurrency = concurrency
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
