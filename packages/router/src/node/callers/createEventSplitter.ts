/** Cuts a stream of events after whole events, leaving its bytes as they are. */
export interface EventSplitter {
  /** Takes in a piece; returns the whole events that it completes. */
  push(piece: Buffer): Buffer | undefined
  /** Forgets the event that is not whole. */
  reset(): void
  /** Id of the last whole event. */
  readonly lastEventId: string | undefined
  /** Whether nothing of a further event has come. */
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

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer | undefined
  let lastEventId: string | undefined

  return {
    push(piece) {
      const bytes = rest ? Buffer.concat([rest, piece]) : piece
      const end = bytes.lastIndexOf(EVENT_END)
      if (end < 0) {
        rest = bytes
        return undefined
      }
      const cut = end + EVENT_END.length
      rest = cut < bytes.length ? bytes.subarray(cut) : undefined
      const whole = bytes.subarray(0, cut)
      lastEventId = findLastId(whole) ?? lastEventId
      return whole
    },
    reset() {
      rest = undefined
    },
    get lastEventId() {
      return lastEventId
    },
    get atEventBoundary() {
      return rest === undefined
    },
  }
}
