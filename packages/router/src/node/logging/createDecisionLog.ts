import { destination, pino } from 'pino'
import type { DecisionLog } from './decisionLog.js'
import { LogEvent } from './logEvent.js'

/** Bytes of lines that may wait to be written; further lines are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024
/** Bytes that are gathered before they are written. */
const BATCH_BYTES = 4096
/** Milliseconds after which lines are written also below a whole batch. */
const FLUSH_MS = 500

/** A log whose output can be ended. */
export interface ClosableLog extends DecisionLog {
  /** Writes what waits. */
  close(): void
}

/** Creates a log of JSON lines on standard output that never blocks. */
export function createDecisionLog(router: string): ClosableLog {
  const output = destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_WAITING_BYTES,
  })
  const logger = pino({ base: { router } }, output)
  let dropped = 0
  output.on('drop', () => {
    dropped += 1
  })
  // A reader that went away must not end the router; its lines are dropped.
  output.on('error', () => {
    dropped += 1
  })
  const flushing = setInterval(() => {
    if (dropped > 0) {
      const count = dropped
      dropped = 0
      logger.warn({ event: LogEvent.LinesDropped, count })
    }
    output.flush()
  }, FLUSH_MS)
  flushing.unref()

  return {
    write(event, fields) {
      logger.info({ event, ...fields })
    },
    close() {
      clearInterval(flushing)
      try {
        output.flushSync()
      } catch {
        // Standard output takes no more; there is nowhere left to say so.
      }
    },
  }
}
