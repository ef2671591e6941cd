/** Milliseconds between two reports of gauges. */
export const DEFAULT_METRICS_INTERVAL_MS = 10_000
/**
 * Maximum size of a datagram in bytes, so that it fits into one Ethernet frame.
 */
export const MAX_DATAGRAM_BYTES = 1_400
/** Milliseconds after which a partly filled datagram is sent. */
export const FLUSH_INTERVAL_MS = 200
