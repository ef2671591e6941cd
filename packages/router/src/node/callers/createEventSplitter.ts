/** Splits an event stream at event boundaries without changing its bytes. */
export interface EventSplitter {
  /** Buffers a chunk; returns the events that it completes. */
  push(chunk: Buffer): Buffer | undefined
  /** Discards the incomplete event. */
  reset(): void
  /** Id of the last complete event. */
  readonly lastEventId: string | undefined
  /** Whether no incomplete event is buffered. */
  readonly atEventBoundary: boolean
}

const EVENT_END = Buffer.from('\n\n')
const EVENT_ID = /^id: ?(.*)$/gm

function findLastId(events: Buffer): string | undefined {
  let id: string | undefined
  for (const match of events.toString('latin1').matchAll(EVENT_ID))
    id = match[1]
  return id
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let incomplete: Buffer | undefined
  let lastEventId: string | undefined

  return {
    push(chunk) {
      const bytes = incomplete ? Buffer.concat([incomplete, chunk]) : chunk
      const end = bytes.lastIndexOf(EVENT_END)
      if (end < 0) {
        incomplete = bytes
        return undefined
      }
      const boundary = end + EVENT_END.length
      incomplete =
        boundary < bytes.length ? bytes.subarray(boundary) : undefined
      const complete = bytes.subarray(0, boundary)
      lastEventId = findLastId(complete) ?? lastEventId
      return complete
    },
    reset() {
      incomplete = undefined
    },
    get lastEventId() {
      return lastEventId
    },
    get atEventBoundary() {
      return incomplete === undefined
    },
  }
}
