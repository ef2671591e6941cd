import type { Result } from 'neverthrow'

/** One record read from the log service. */
export interface LogRecord {
  readonly offset: number
  readonly atMs: number
  readonly value: unknown
}

/** A page of a stream. */
export interface LogPage {
  /** Identity of the log; another one means that the log was replaced. */
  readonly logId: string
  readonly firstOffset: number
  readonly nextOffset: number
  readonly records: readonly LogRecord[]
}

/** A failed call to the log service. */
export interface LogError {
  readonly message: string
  /** Whether the write may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean
}

/** Reads and appends to the platform's log service. */
export interface LogClient {
  /** Appends values and returns the first one's offset. */
  append(
    stream: string,
    values: readonly unknown[],
  ): Promise<Result<number, LogError>>
  /** Reads from an offset on, waiting up to `waitMs` for a record. */
  read(
    stream: string,
    from: number,
    waitMs?: number,
    limit?: number,
  ): Promise<Result<LogPage, LogError>>
}
