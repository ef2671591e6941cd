import type { ConfigurationPage, ConfigurationLogRecord } from '@auburnbay/core'

/** In-memory log with injectable faults. */
export class FaultyLog {
  private records: ConfigurationLogRecord[] = []
  private oldestOffset = 0
  private generation = 1

  /** Identity of the log; changes with {@link replace}. */
  get logId(): string {
    return `log-${this.generation}`
  }

  /** Offset of the next append. */
  get nextOffset(): number {
    return this.oldestOffset + this.records.length
  }

  /** Appends a value. */
  append(value: unknown): void {
    this.records.push({ offset: this.nextOffset, value })
  }

  /** Returns the records from an offset on. */
  read(from: number): ConfigurationPage {
    return {
      logId: this.logId,
      firstOffset: this.oldestOffset,
      nextOffset: this.nextOffset,
      records: this.records.filter(({ offset }) => offset >= from),
    }
  }

  /** Drops the oldest records, as retention does. */
  trim(count: number): void {
    const dropped = Math.min(count, this.records.length)
    this.records = this.records.slice(dropped)
    this.oldestOffset += dropped
  }

  /** Loses the newest records. */
  loseNewest(count: number): void {
    this.records = this.records.slice(
      0,
      Math.max(0, this.records.length - count),
    )
  }

  /** Replaces the log by an empty one with a new identity. */
  replace(): void {
    this.records = []
    this.oldestOffset = 0
    this.generation += 1
  }
}
