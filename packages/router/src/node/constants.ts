/** Interval of digests to peers, in milliseconds: five within the second in which load changes. */
export const DIGEST_INTERVAL_MS = 200
/** Delay of a scheduled broadcast, in milliseconds: peers learn of a new prompt before they send it elsewhere. */
export const BROADCAST_DELAY_MS = 20
/** Peers of a small fleet that receive one digest; keeps 5 digests/s of about 200 bytes each within 27 KB/s. */
export const DIGEST_FANOUT = 16
/** Digests that may be lost before a peer's counts are ignored as stale. */
export const MAX_LOST_DIGESTS = 5
/** Milliseconds without a digest after which a peer of a small fleet counts as lost. */
export const PEER_TIMEOUT_MS = 2_000
/** Interval of digests to a lost peer, in milliseconds. */
export const PEER_PROBE_INTERVAL_MS = 1_000
/** Milliseconds without a digest or a directory listing after which a peer is removed; a restart takes seconds. */
export const PEER_EXPIRY_MS = 60_000
/** Milliseconds between the first two attempts to register in the router directory. */
export const DIRECTORY_RETRY_MS = 500
/** Longest time between two attempts, in milliseconds; below the time in which a peer counts as lost. */
export const MAX_DIRECTORY_RETRY_MS = 1_500
/** Milliseconds between two polls of the router directory. */
export const DIRECTORY_POLL_MS = 15_000
/** Milliseconds after an outage of the target list within which lost entries return. */
export const REJOIN_WINDOW_MS = 2_200
/** Outages of the target list up to this length, in milliseconds, lose no entries: an entry lasts for three heartbeats. */
export const SHORT_OUTAGE_MS = 2_000
/** A peer's last poll is fresh for the time in which a change must take effect, divided by this. */
export const READER_AGE_DIVISOR = 2
/** Polls of the target list within the time that a draining target may still get requests. */
export const POLLS_PER_DRAIN = 4
/** Timeout for opening a connection to a target, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 300
/** Milliseconds that an idle connection to a target is kept open. */
export const KEEP_ALIVE_TIMEOUT_MS = 2_000
/** Milliseconds after the stop signal by which the load balancer has stopped sending requests. */
export const LOAD_BALANCER_DELAY_MS = 3_000
/** Milliseconds before the end of the grace period at which remaining requests are aborted. */
export const STOP_MARGIN_MS = 400
/** Interval of checks whether all requests have ended, in milliseconds. */
export const STOP_CHECK_MS = 50
/** Milliseconds for which an unreachable router counts in the fleet's size; partitions between regions last minutes. */
export const ROUTER_MEMORY_MS = 15 * 60_000
/** Prompts whose cache locations a router remembers, at about 200 bytes each. */
export const MAX_CACHE_LOCATIONS = 10_000
/** Milliseconds without a turn of the event loop after which the target list is invalidated. */
export const EVENT_LOOP_PAUSE_MS = 700
/** Milliseconds that a target with requests in flight may send nothing; several times what a loaded one takes. */
export const STALL_TIMEOUT_MS = 1_000
/** Milliseconds for which a shared record binds routers that learn of it. */
export const RECORD_LIFETIME_MS = 15 * 60_000
/** Milliseconds after the last crash for which requests with a harmful trait are refused; as long as its records last. */
export const HARMFUL_TRAIT_LIFETIME_MS = RECORD_LIFETIME_MS
/** Milliseconds between two polls of the log by a router that gets its state from peers while the log refuses it. */
export const REFUSED_RETRY_MS = 4_000
/** Polls a second that all routers together send while the log is unavailable to the whole fleet. */
export const OUTAGE_POLLS_PER_S = 16
