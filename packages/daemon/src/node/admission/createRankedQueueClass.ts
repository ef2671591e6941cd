import {
  createRequestQueue,
  type RequestQueueOptions,
  type WaitingRequest,
} from '@auburnbay/core'
import type PQueue from 'p-queue'
import type { Queue } from 'p-queue'

type RunFunction = () => Promise<unknown>
type AddOptions = NonNullable<Parameters<PQueue['add']>[1]>

/** Options of `PQueue.add` for a ranked request. */
export interface RankedAddOptions extends AddOptions {
  readonly request: WaitingRequest
  /** Called when the request is shed in favour of another one. */
  readonly onShed: () => void
}

interface QueueEntry extends WaitingRequest {
  readonly run: RunFunction
  readonly onShed: () => void
}

/**
 * Creates a queue class for p-queue with the order of `createRequestQueue`.
 * While `urgentOnly` returns true, only requests of rank 0 are visible and run.
 */
export function createRankedQueueClass(
  options: RequestQueueOptions,
  now: () => number,
  urgentOnly: () => boolean,
): new () => Queue<RunFunction, RankedAddOptions> {
  return class RankedQueue {
    private readonly queue = createRequestQueue<QueueEntry>(options)

    get size(): number {
      return urgentOnly() ? this.queue.urgentSize : this.queue.size
    }

    enqueue(run: RunFunction, addOptions?: Partial<RankedAddOptions>): void {
      if (!addOptions?.request)
        throw new TypeError('PQueue.add() requires a `request` option')
      const onShed = addOptions.onShed ?? (() => undefined)
      const queued = { ...addOptions.request, run, onShed }
      for (const shed of this.queue.enqueue(queued)) shed.onShed()
    }

    dequeue(): RunFunction | undefined {
      const next = urgentOnly()
        ? this.queue.dequeueUrgent(now())
        : this.queue.dequeue(now())
      return next?.run
    }

    remove(id: string): void {
      this.queue.remove(id)
    }

    filter(criteria: Readonly<Partial<RankedAddOptions>>): RunFunction[] {
      const found: RunFunction[] = []
      for (const queued of this.queue.requests())
        if (queued.rank === criteria.priority) found.push(queued.run)
      return found
    }

    setPriority(id: string): void {
      throw new Error(
        `cannot change the rank of request ${id}; submit it again`,
      )
    }
  }
}
