import type { ConfigurationPage, ConfigurationLogRecord } from '@auburnbay/core'

/** A log in memory whose faults a schedule brings about. */
export class FaultyLog {
  private records: ConfigurationLogRecord[] = []
  private first = 0
  private generation = 1

  /** Identity of the log. */
  get logId(): string {
    return `log-${this.generation}`
  }

  /** Offset of the next append. */
  get nextOffset(): number {
    return this.first + this.records.length
  }

  /** Appends a value. */
  append(value: unknown): void {
    this.records.push({ offset: this.nextOffset, value })
  }

  /** Returns what a read from an offset brings. */
  read(from: number): ConfigurationPage {
    return {
      logId: this.logId,
      firstOffset: this.first,
      nextOffset: this.nextOffset,
      records: this.records.filter(({ offset }) => offset >= from),
    }
  }

  /** Drops the oldest records, as retention does. */
  trim(count: number): void {
    const dropped = Math.min(count, this.records.length)
    this.records = this.records.slice(dropped)
    this.first += dropped
  }

  /** Loses the newest records. */
  shorten(count: number): void {
    this.records = this.records.slice(
      0,
      Math.max(0, this.records.length - count),
    )
  }

  /** Starts over, empty and under another identity. */
  replace(): void {
    this.records = []
    this.first = 0
    this.generation += 1
  }
}
