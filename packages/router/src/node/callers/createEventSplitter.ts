import { createByteCollector } from '@auburnbay/http-utils/createByteCollector'
import { findHeaderFault } from '@auburnbay/http-utils/findHeaderFault'

/** Splits an event stream at event boundaries without changing its bytes. */
export interface EventSplitter {
  /** Buffers a chunk; returns the events that it completes. */
  push(chunk: Buffer): Buffer | undefined
  /** Begins a new stream: discards the incomplete event and sets the number of events to 0. */
  reset(): void
  /** Number of complete events. */
  readonly events: number
  /** Id of the last complete event that has one; undefined if it cannot be sent in a header. */
  readonly lastEventId: string | undefined
  /** Length of the incomplete event that is buffered. */
  readonly incompleteBytes: number
  /** Whether no incomplete event is buffered. */
  readonly atEventBoundary: boolean
}

/** What the current line of a stream has so far. */
enum Line {
  Empty,
  CarriageReturn,
  Text,
}

const LF = 0x0a
const CR = 0x0d
const ID_FIELD = 'id:'
/** Longest id that is sent to a target. */
const MAX_ID_LENGTH = 1_024

/** Returns the value of the last `id` line; undefined if there is none. */
function findLastId(events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const before = text.lastIndexOf(`\n${ID_FIELD}`)
  if (before < 0 && !text.startsWith(ID_FIELD)) return undefined
  const value = text.slice(before + 1 + ID_FIELD.length)
  return /^ ?([^\r\n]*)/.exec(value)?.[1]
}

function isSendable(id: string): boolean {
  const fault = findHeaderFault(['last-event-id', id])
  return id.length <= MAX_ID_LENGTH && fault === undefined
}

/** Creates a splitter for one stream, whose lines end with LF or CR LF. Each byte is looked at once, however small the chunks are. */
export function createEventSplitter(): EventSplitter {
  const incomplete = createByteCollector()
  let line = Line.Empty
  /** Whether the current event has a line with text. */
  let hasText = false
  let lastEventId: string | undefined
  let events = 0

  /** Returns the end of the last event that is completed in a chunk; 0 if none is. */
  function scan(chunk: Buffer): number {
    let boundary = 0
    for (let i = 0; i < chunk.length; i += 1) {
      const byte = chunk[i]
      if (byte !== LF) {
        const startsEnd = byte === CR && line === Line.Empty
        line = startsEnd ? Line.CarriageReturn : Line.Text
        hasText ||= !startsEnd
        continue
      }
      if (line !== Line.Text) {
        if (hasText) events += 1
        hasText = false
        boundary = i + 1
      }
      line = Line.Empty
    }
    return boundary
  }

  return {
    push(chunk) {
      const boundary = scan(chunk)
      if (boundary === 0) {
        incomplete.add(chunk)
        return undefined
      }
      incomplete.add(chunk.subarray(0, boundary))
      const complete = incomplete.take()
      if (boundary < chunk.length) incomplete.add(chunk.subarray(boundary))
      const id = findLastId(complete)
      if (id !== undefined) lastEventId = isSendable(id) ? id : undefined
      return complete
    },
    reset() {
      incomplete.take()
      line = Line.Empty
      hasText = false
      events = 0
    },
    get events() {
      return events
    },
    get lastEventId() {
      return lastEventId
    },
    get incompleteBytes() {
      return incomplete.length
    },
    get atEventBoundary() {
      return incomplete.length === 0
    },
  }
}
