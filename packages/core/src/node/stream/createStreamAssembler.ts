import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { StreamFault } from './streamFault.js'

/** Maximum length of an incomplete event, in characters. */
export const MAX_EVENT_CHARS = 4 * 1024 * 1024

const END_MARKER = '[DONE]'
const EVENT_NUMBER = /^(0|[1-9]\d{0,14})$/

/**
 * Reassembles an event stream that arrives over several connections, without
 * gaps or repeated events.
 */
export interface StreamAssembler {
  /** Parses text from the current connection; returns the complete events to forward. */
  push(text: string): string
  /** Switches to the next connection and discards an incomplete event. */
  resume(): void
  /** Number of the event to resume from; undefined if events are not numbered from 0. */
  readonly nextEventNumber: number | undefined
  /** Whether the end marker was received. */
  readonly done: boolean
  readonly fault: StreamFault | undefined
}

function parseEventNumber(event: EventSourceMessage): number | undefined {
  const id = event.id ?? ''
  return EVENT_NUMBER.test(id) ? Number(id) : undefined
}

function formatEvent(message: EventSourceMessage): string {
  const { id, event, data } = message
  const lines = data.split('\n').map((line) => `data: ${line}\n`)
  if (event !== undefined) lines.unshift(`event: ${event}\n`)
  if (id !== undefined) lines.unshift(`id: ${id}\n`)
  return `${lines.join('')}\n`
}

/**
 * Creates an assembler. A stream can be resumed if the event ids are numbers
 * that count up from 0.
 */
export function createStreamAssembler(): StreamAssembler {
  let output = ''
  let expected = 0
  let numbered = true
  let resumed = false
  let done = false
  let fault: StreamFault | undefined

  function accepts(event: EventSourceMessage): boolean {
    const number = parseEventNumber(event)
    if (!resumed) {
      numbered &&= number === expected
      return true
    }
    if (number === undefined) fault = StreamFault.Unnumbered
    else if (number > expected) fault = StreamFault.Gap
    return number === expected
  }

  function onEvent(event: EventSourceMessage): void {
    if (done || fault !== undefined) return
    if (!accepts(event)) return
    expected += 1
    output += formatEvent(event)
    done = event.data === END_MARKER
  }

  function createConnectionParser() {
    return createParser({
      onEvent,
      onComment: (comment) => {
        if (!done && fault === undefined) output += `:${comment}\n\n`
      },
      onError: (error) => {
        if (error.type === 'max-buffer-size-exceeded')
          fault ??= StreamFault.EventTooLarge
      },
      maxBufferSize: MAX_EVENT_CHARS,
    })
  }

  let parser = createConnectionParser()
  return {
    push: (text) => {
      output = ''
      if (fault === undefined) parser.feed(text)
      return output
    },
    resume: () => {
      resumed = true
      parser = createConnectionParser()
    },
    get nextEventNumber() {
      return numbered ? expected : undefined
    },
    get done() {
      return done
    },
    get fault() {
      return fault
    },
  }
}
