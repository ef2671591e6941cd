/** Milliseconds between two digests to peers; a fifth of the second in which load moves. */
export const DIGEST_INTERVAL_MS = 200
/** Milliseconds within which peers learn of a new prompt, before they place it elsewhere. */
export const BROADCAST_DELAY_MS = 20
/** Peers that one digest goes to; keeps 5 digests/s of some 200 bytes within 27 KB/s. */
export const DIGEST_FANOUT = 16
/** Digests that may be lost before a peer's counts are no longer used. */
export const MAX_LOST_DIGESTS = 5
/** Milliseconds of silence after which a peer counts as lost. */
export const PEER_TIMEOUT_MS = 2_000
/** Milliseconds between two digests to a lost peer. */
export const PEER_PROBE_INTERVAL_MS = 1_000
/** Milliseconds of silence after which a peer is forgotten; restarts take seconds. */
export const PEER_EXPIRY_MS = 60_000
/** Milliseconds between two tries to enter the list of routers. */
export const DIRECTORY_RETRY_MS = 500
/** Milliseconds between two readings of the list of routers, for each 16 routers listed. */
export const DIRECTORY_POLL_MS = 15_000
/** Milliseconds after an outage within which lost entries of targets come back. */
export const REJOIN_WINDOW_MS = 2_200
/** Outages shorter than this, in milliseconds, lose no entries of targets. */
export const SHORT_OUTAGE_MS = 1_000
/** Ages of a peer's reading up to which this router need not read that fit into the time in which a change must be in force. */
export const READER_AGE_DIVISOR = 2
/** Readings of the list of targets within the time that a leaving one may still get work. */
export const POLLS_PER_DRAIN = 4
/** Milliseconds until a connection to a target must be open. */
export const CONNECT_TIMEOUT_MS = 300
/** Milliseconds that a connection to a target is kept without a request. */
export const KEEP_ALIVE_TIMEOUT_MS = 2_000
/** Milliseconds after the order to stop until the balancer surely sends nothing more. */
export const LOAD_BALANCER_DELAY_MS = 3_000
/** Milliseconds before the end of the grace period at which requests are broken off. */
export const STOP_MARGIN_MS = 400
/** Milliseconds between two looks at whether all requests have ended. */
export const STOP_CHECK_MS = 50
/** Routers that share the retry allowance while no peer is known. */
export const DEFAULT_ROUTER_COUNT = 10
/** Prompts whose targets a router remembers; a prompt takes some 200 bytes. */
export const MAX_CACHE_LOCATIONS = 10_000
/** Milliseconds without a turn of the loop after which a router doubts what it knew. */
export const EVENT_LOOP_PAUSE_MS = 700
/** Milliseconds that a target may owe answers and send nothing; several times what a loaded one takes. */
export const STALL_TIMEOUT_MS = 1_000
