/**
 * Counts how often the log was restored from an older copy. Records written
 * shortly before a restore are lost and their offsets are assigned again.
 */
export interface LogRestores {
  /** Highest count reported so far; undefined before the first report. */
  readonly count: number | undefined
  /** Records the count in a response of the log or in a peer's digest. */
  report(count: number): void
  /** Calls `listener` when the count rises; the first report is no rise. */
  onRestore(listener: (count: number) => void): void
}

/** Creates a counter without a report. */
export function createLogRestores(): LogRestores {
  const listeners: ((count: number) => void)[] = []
  let current: number | undefined
  return {
    get count() {
      return current
    },
    report(count) {
      if (current !== undefined && count <= current) return
      const isFirst = current === undefined
      current = count
      if (isFirst) return
      for (const listener of listeners) listener(count)
    },
    onRestore(listener) {
      listeners.push(listener)
    },
  }
}
