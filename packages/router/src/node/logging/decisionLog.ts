import type { LogEvent } from './logEvent.js'

/** Value of a field in a log line. */
export type LogValue = string | number | boolean | undefined

/** Writes one structured line for each decision and state change. */
export interface DecisionLog {
  write(event: LogEvent, fields: Readonly<Record<string, LogValue>>): void
}
