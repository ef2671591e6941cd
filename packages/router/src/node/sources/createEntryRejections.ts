import { LRUCache } from 'lru-cache'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'

/** Milliseconds between two lines about one key. */
const LINE_INTERVAL_MS = 60_000
/** Keys whose lines are remembered. */
const MAX_KEYS = 1_000

/** Records that an entry of the log could not be read. */
export type RejectEntry = (key: string, error: unknown) => void

/** Creates a log of the rejected entries of a topic, with a line per key and minute. */
export function createEntryRejections(
  topic: string,
  log: DecisionLog,
): RejectEntry {
  const logged = new LRUCache<string, true>({
    max: MAX_KEYS,
    ttl: LINE_INTERVAL_MS,
  })
  return (key, error) => {
    if (logged.has(key)) return
    logged.set(key, true)
    const reason = error instanceof Error ? error.message : String(error)
    log.write(LogEvent.EntryRejected, { topic, key, reason })
  }
}
