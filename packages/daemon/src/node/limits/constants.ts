/** Number of heartbeat intervals after which a digest is stale. */
export const STALE_AFTER_HEARTBEATS = 1.5
