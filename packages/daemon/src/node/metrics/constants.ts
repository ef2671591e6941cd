/** Milliseconds between two reports of gauges. */
export const DEFAULT_METRICS_INTERVAL_MS = 10_000
/** Bytes of a datagram at most, so that it fits into one Ethernet frame. */
export const MAX_DATAGRAM_BYTES = 1_400
/** Milliseconds after which a datagram is sent though it is not full. */
export const FLUSH_INTERVAL_MS = 200
