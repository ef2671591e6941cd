/** Milliseconds between two digests to peers; a fifth of the second in which load moves. */
export const DIGEST_MS = 200
/** Milliseconds within which peers learn of a new prompt, before they place it elsewhere. */
export const TELL_SOON_MS = 20
/** Peers that one digest goes to; keeps 5 digests/s of some 200 bytes within 27 KB/s. */
export const MAX_TOLD = 16
/** Digests that may be lost before a peer's counts are no longer used. */
export const STALE_DIGESTS = 5
/** Milliseconds of silence after which a peer counts as lost. */
export const PEER_LOST_MS = 2_000
/** Milliseconds between two digests to a lost peer. */
export const PEER_PROBE_MS = 1_000
/** Milliseconds of silence after which a peer is forgotten; restarts take seconds. */
export const PEER_FORGET_MS = 60_000
/** Milliseconds between two tries to enter the list of routers. */
export const DIRECTORY_RETRY_MS = 500
/** Milliseconds between two readings of the list of routers, for each 16 routers listed. */
export const DIRECTORY_READ_MS = 15_000
/** Milliseconds after an outage within which lost entries of targets come back. */
export const REJOIN_MS = 2_200
/** Outages shorter than this, in milliseconds, lose no entries of targets. */
export const SHORT_OUTAGE_MS = 1_000
/** Ages of a peer's reading up to which this router need not read that fit into the time in which a change must be in force. */
export const READER_AGES_PER_BOUND = 2
/** Readings of the list of targets within the time that a leaving one may still get work. */
export const READINGS_PER_DRAIN = 4
/** Milliseconds until a connection to a target must be open. */
export const CONNECT_TIMEOUT_MS = 300
/** Milliseconds that a connection to a target is kept without a request. */
export const KEPT_IDLE_MS = 2_000
/** Milliseconds after the order to stop until the balancer surely sends nothing more. */
export const BALANCER_DELAY_MS = 3_000
/** Milliseconds before the end of the grace period at which requests are broken off. */
export const STOP_MARGIN_MS = 400
/** Milliseconds between two looks at whether all requests have ended. */
export const STOP_CHECK_MS = 50
/** Routers that share the retry allowance while no peer is known. */
export const ROUTERS_WHEN_ALONE = 10
/** Prompts whose targets a router remembers; a prompt takes some 200 bytes. */
export const MAX_PLACEMENTS = 10_000
/** Milliseconds without a turn of the loop after which a router doubts what it knew. */
export const PAUSE_MS = 700
/** Milliseconds that a target may owe answers and send nothing; several times what a loaded one takes. */
export const SILENT_MS = 1_000
