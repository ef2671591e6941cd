import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SourceFault } from './sourceFault.js'

/** Lines on a source that stopped answering or answers again. */
export interface SourceLogger {
  readonly logUnavailable: (fault: SourceFault) => void
  readonly logRecovered: (lostMs: number) => void
}

/** Creates the lines of one source, by its name. */
export function createSourceLogger(
  log: DecisionLog,
  source: string,
): SourceLogger {
  return {
    logUnavailable: (fault) => {
      log.write(LogEvent.SourceLost, { source, fault })
    },
    logRecovered: (lostMs) => {
      log.write(LogEvent.SourceRegained, {
        source,
        lostMs: Math.round(lostMs),
      })
    },
  }
}
