import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SourceFault } from './sourceFault.js'

/** Logs when a source becomes unavailable and when it recovers. */
export interface SourceLogger {
  readonly logUnavailable: (fault: SourceFault) => void
  readonly logRecovered: (outageMs: number) => void
}

/** Creates the logger of one source, named `source` in the log. */
export function createSourceLogger(
  log: DecisionLog,
  source: string,
): SourceLogger {
  return {
    logUnavailable: (fault) => {
      log.write(LogEvent.SourceUnavailable, { source, fault })
    },
    logRecovered: (outageMs) => {
      log.write(LogEvent.SourceRecovered, {
        source,
        lostMs: Math.round(outageMs),
      })
    },
  }
}
