/** Milliseconds between two reports of gauges. */
export const DEFAULT_METRICS_MS = 10_000
