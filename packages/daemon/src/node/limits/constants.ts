/** Heartbeat intervals after which a digest is no longer trusted. */
export const STALE_HEARTBEATS = 1.5
