/** Heartbeat intervals after which a digest is no longer trusted. */
export const STALE_HEARTBEATS = 1.5
/** Milliseconds until the work in a silent peer's last digest has ended. */
export const DIGEST_HOLD_MS = 120_000
