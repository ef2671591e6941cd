import {
  createRequestQueue,
  type RequestQueueOptions,
  type WaitingRequest,
} from '@auburnbay/core'
import type PQueue from 'p-queue'
import type { Queue } from 'p-queue'

type RunFunction = () => Promise<unknown>
type AddOptions = NonNullable<Parameters<PQueue['add']>[1]>

/** What `add` takes with a request. */
export interface RankedOptions extends AddOptions {
  readonly request: WaitingRequest
  /** Called when the request is shed for one of a better rank. */
  readonly onShed: () => void
}

interface QueuedRun extends WaitingRequest {
  readonly run: RunFunction
  readonly onShed: () => void
}

/**
 * Creates a queue class for p-queue that follows the order of the core. While
 * `urgentOnly` holds, it shows and hands out requests of rank 0 alone.
 */
export function createRankedQueueClass(
  options: RequestQueueOptions,
  now: () => number,
  urgentOnly: () => boolean,
): new () => Queue<RunFunction, RankedOptions> {
  return class RankedQueue {
    private readonly queue = createRequestQueue<QueuedRun>(options)

    get size(): number {
      return urgentOnly() ? this.queue.urgentSize : this.queue.size
    }

    enqueue(run: RunFunction, added?: Partial<RankedOptions>): void {
      if (!added?.request) throw new TypeError('add needs a request to rank')
      const onShed = added.onShed ?? (() => undefined)
      const queued = { ...added.request, run, onShed }
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

    filter(wanted: Readonly<Partial<RankedOptions>>): RunFunction[] {
      const found: RunFunction[] = []
      for (const queued of this.queue.requests())
        if (queued.rank === wanted.priority) found.push(queued.run)
      return found
    }

    setPriority(id: string): void {
      throw new Error(`the rank of ${id} is fixed; submit the request again`)
    }
  }
}
