import type { Result } from 'neverthrow'

/** One record read from the log service. */
export interface LogRecord {
  readonly offset: number
  readonly atMs: number
  readonly value: unknown
}

/** Consecutive records of a stream. */
export interface LogPage {
  /** Id of the log; it changes when the log is replaced. */
  readonly logId: string
  /** Offset of the oldest record that the stream holds. */
  readonly firstOffset: number
  /** Offset of the next record to be appended. */
  readonly nextOffset: number
  readonly records: readonly LogRecord[]
}

/** A failed call to the log service. */
export interface LogError {
  readonly message: string
  /** Whether the append may have succeeded nevertheless. */
  readonly mayHaveTakenEffect: boolean
}

/** Client of the platform's log service. */
export interface LogClient {
  /** Appends values and returns the offset of the first one. */
  append(
    stream: string,
    values: readonly unknown[],
  ): Promise<Result<number, LogError>>
  /**
   * Reads up to `limit` records from an offset on; waits up to `waitMs` for the
   * first.
   */
  read(
    stream: string,
    from: number,
    waitMs?: number,
    limit?: number,
  ): Promise<Result<LogPage, LogError>>
}
