/** Record of a stream. */
export interface LogRecord {
  readonly offset: number
  /** Milliseconds since the epoch. */
  readonly atMs: number
  readonly value: unknown
}

/** Append-only stream whose oldest records can be trimmed. */
export class LogStream {
  private readonly records: LogRecord[] = []
  private next = 0
  private readonly waiters = new Set<() => void>()

  constructor(private readonly now: () => number) {}

  /** Offset of the oldest record kept. */
  get firstOffset(): number {
    return this.records[0]?.offset ?? this.next
  }

  /** Offset of the next append. */
  get nextOffset(): number {
    return this.next
  }

  /** Appends values and returns the offset of the first one. */
  append(values: readonly unknown[]): number {
    const first = this.next
    for (const value of values) {
      this.records.push({ offset: this.next, atMs: this.now(), value })
      this.next += 1
    }
    for (const wake of this.waiters) wake()
    this.waiters.clear()
    return first
  }

  /** Returns at most `limit` records from offset `from` on. */
  read(from: number, limit: number): LogRecord[] {
    const start = Math.max(0, from - this.firstOffset)
    return this.records.slice(start, start + limit)
  }

  /** Drops the records before `offset`, as retention does. */
  trim(offset: number): void {
    while (this.records[0] && this.records[0].offset < offset)
      this.records.shift()
  }

  /** Resolves at the next append or after `waitMs` milliseconds. */
  waitForAppend(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.waiters.add(wake)
    })
  }
}
