import type { LogEvent } from './logEvent.js'

/** Value of a field in a log line. */
export type LogValue = string | number | boolean | undefined

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, LogValue>>

/** Writes one structured line for each decision and state change. */
export interface DecisionLog {
  write(event: LogEvent, fields: LogFields): void
}
