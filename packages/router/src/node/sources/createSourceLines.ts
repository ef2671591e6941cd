import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SourceFault } from './sourceFault.js'

/** Lines on a source that stopped answering or answers again. */
export interface SourceLines {
  readonly lost: (fault: SourceFault) => void
  readonly regained: (lostMs: number) => void
}

/** Creates the lines of one source, by its name. */
export function createSourceLines(
  log: DecisionLog,
  source: string,
): SourceLines {
  return {
    lost: (fault) => {
      log.write(LogEvent.SourceLost, { source, fault })
    },
    regained: (lostMs) => {
      log.write(LogEvent.SourceRegained, {
        source,
        lostMs: Math.round(lostMs),
      })
    },
  }
}
