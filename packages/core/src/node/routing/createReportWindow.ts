import { REPORT_LAG_MS } from './constants.js'

/** Compares late load reports with what was held when they were made. */
export interface ReportWindow {
  /** Notes the places held now. */
  note(held: readonly number[], nowMs: number): void
  /** Load that a report shows beyond every count of the last seconds. */
  unaccounted(index: number, reported: number | undefined): number
}

/** Creates a window of the highest counts of the last one to two lags. */
export function createReportWindow(size: number): ReportWindow {
  const current = new Array<number>(size).fill(0)
  const previous = new Array<number>(size).fill(0)
  let openedAtMs: number | undefined
  let startedAtMs: number | undefined
  let lastMs = 0

  function turn(nowMs: number): void {
    openedAtMs ??= nowMs
    startedAtMs ??= nowMs
    lastMs = nowMs
    if (nowMs - startedAtMs < REPORT_LAG_MS) return
    startedAtMs = nowMs
    for (const [index, held] of current.entries()) previous[index] = held
    current.fill(0)
  }

  return {
    note(held, nowMs) {
      turn(nowMs)
      for (const [index, load] of held.entries())
        current[index] = Math.max(current[index] ?? 0, load)
    },
    unaccounted(index, reported) {
      if (reported === undefined || openedAtMs === undefined) return 0
      // A report from before the window opened has nothing to compare with.
      if (lastMs - openedAtMs < REPORT_LAG_MS) return 0
      const highest = Math.max(current[index] ?? 0, previous[index] ?? 0)
      return Math.max(0, reported - highest)
    },
  }
}
