import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { ServerKind } from './connectionBoundsOf.js'
import type { CloseReason } from './closeReason.js'

/** Interval between two log lines with the same server and reason, in milliseconds. */
const LINE_INTERVAL_MS = 1_000

/** Options for {@link createCloseReporter}. */
export interface CloseReporterOptions {
  readonly metrics: Pick<RouterMetrics, 'recordConnectionClosed'>
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Reports a connection that was closed because of a bound. */
export type CloseReporter = (
  server: ServerKind,
  reason: CloseReason,
  client: string,
) => void

/** Creates a reporter; a crowd writes one line per second, server and reason. */
export function createCloseReporter(
  options: CloseReporterOptions,
): CloseReporter {
  const { metrics, log, now } = options
  const writtenAtMs = new Map<string, number>()
  const unwritten = new Map<string, number>()
  return (server, reason, client) => {
    metrics.recordConnectionClosed(server, reason)
    const key = `${server} ${reason}`
    const count = (unwritten.get(key) ?? 0) + 1
    unwritten.set(key, count)
    if (now() - (writtenAtMs.get(key) ?? -Infinity) < LINE_INTERVAL_MS) return
    log.write(LogEvent.ConnectionsClosed, { server, reason, count, client })
    writtenAtMs.set(key, now())
    unwritten.delete(key)
  }
}
