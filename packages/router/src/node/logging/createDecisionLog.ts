import { destination, pino } from 'pino'
import type { DecisionLog } from './decisionLog.js'
import { LogEvent } from './logEvent.js'

/** Output buffer size in bytes; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024
/** Bytes buffered before a write. */
const BATCH_BYTES = 4096
/** Interval at which an incomplete batch is flushed, in milliseconds. */
const FLUSH_MS = 500

/** A decision log that can be closed. */
export interface ClosableLog extends DecisionLog {
  /** Flushes buffered lines. */
  close(): void
}

/** Creates a log of JSON lines on standard output; writes never block. */
export function createDecisionLog(router: string): ClosableLog {
  const output = destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  })
  const logger = pino({ base: { router } }, output)
  let dropped = 0
  output.on('drop', () => {
    dropped += 1
  })
  // A closed pipe must not crash the router; its lines are dropped.
  output.on('error', () => {
    dropped += 1
  })
  const flushTimer = setInterval(() => {
    if (dropped > 0) {
      const count = dropped
      dropped = 0
      logger.warn({ event: LogEvent.LinesDropped, count })
    }
    output.flush()
  }, FLUSH_MS)
  flushTimer.unref()

  return {
    write(event, fields) {
      logger.info({ event, ...fields })
    },
    close() {
      clearInterval(flushTimer)
      try {
        output.flushSync()
      } catch {
        // Standard output is closed, so the error cannot be reported.
      }
    },
  }
}
