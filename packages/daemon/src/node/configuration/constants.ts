/** Milliseconds between two checks of the versions of the peers. */
export const PEER_CATCH_UP_INTERVAL_MS = 200
/** Timeout of a fetch of records or a snapshot from a peer, in milliseconds. */
export const PEER_FETCH_TIMEOUT_MS = 5_000
/** Number of newest snapshots among which a router chooses one to restore. */
export const MAX_SNAPSHOTS_READ = 5
/** Milliseconds between two checks whether a snapshot is due. */
export const SNAPSHOT_CHECK_INTERVAL_MS = 1_000
/** Maximum number of records in memory for peers that are behind. */
export const MAX_HISTORY_RECORDS = 512
/** Maximum total length of these records as JSON, in characters. */
export const MAX_HISTORY_CHARACTERS = 512 * 1024
