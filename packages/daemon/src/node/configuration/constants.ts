/** Milliseconds between two looks at the versions of the peers. */
export const PEER_CATCH_UP_INTERVAL_MS = 200
/** Milliseconds that a fetch of records or a snapshot from a peer may take. */
export const PEER_FETCH_TIMEOUT_MS = 5_000
/** Snapshots that a router looks through, newest last. */
export const MAX_SNAPSHOTS_READ = 5
/** Milliseconds between two looks at the age of the last snapshot. */
export const SNAPSHOT_CHECK_INTERVAL_MS = 1_000
/** Records that a router keeps for its peers. */
export const MAX_HISTORY_RECORDS = 512
/** Longest text of the records kept for peers, in characters. */
export const MAX_HISTORY_CHARACTERS = 512 * 1024
