import type { LogEvent } from './logEvent.js'

/** A value of a log line's field. */
export type LogValue = string | number | boolean | undefined

/** Writes one structured line for each decision and changed belief. */
export interface DecisionLog {
  write(event: LogEvent, fields: Readonly<Record<string, LogValue>>): void
}
