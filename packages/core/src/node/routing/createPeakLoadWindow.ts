import { LOAD_REPORT_LAG_MS } from './constants.js'

/** Compares delayed load reports with the slots held when they were made. */
export interface PeakLoadWindow {
  /** Records the slots held now, by target. */
  record(held: readonly number[], nowMs: number): void
  /** Returns the reported load above the peak of held slots in the window. */
  unaccountedLoad(index: number, reported: number | undefined): number
}

/** Creates a window over the last one to two `LOAD_REPORT_LAG_MS`. */
export function createPeakLoadWindow(size: number): PeakLoadWindow {
  const current = new Array<number>(size).fill(0)
  const previous = new Array<number>(size).fill(0)
  let firstRecordAtMs: number | undefined
  let startedAtMs: number | undefined
  let lastRecordAtMs = 0

  function rotate(nowMs: number): void {
    firstRecordAtMs ??= nowMs
    startedAtMs ??= nowMs
    lastRecordAtMs = nowMs
    if (nowMs - startedAtMs < LOAD_REPORT_LAG_MS) return
    startedAtMs = nowMs
    for (const [index, held] of current.entries()) previous[index] = held
    current.fill(0)
  }

  return {
    record(held, nowMs) {
      rotate(nowMs)
      for (const [index, load] of held.entries())
        current[index] = Math.max(current[index] ?? 0, load)
    },
    unaccountedLoad(index, reported) {
      if (reported === undefined || firstRecordAtMs === undefined) return 0
      // The report may date from before the first record.
      if (lastRecordAtMs - firstRecordAtMs < LOAD_REPORT_LAG_MS) return 0
      const peak = Math.max(current[index] ?? 0, previous[index] ?? 0)
      return Math.max(0, reported - peak)
    },
  }
}
