/** Records that one append carries at most. */
export const MAX_BATCH_RECORDS = 500
/** Releases and outcomes that wait for the log at most; the oldest are dropped. */
export const MAX_WAITING_RECORDS = 10_000
/** Abandoned claims that are still looked out for at most. */
export const MAX_ABANDONED_CLAIMS = 10_000
/** Milliseconds that stopping waits for the last records. */
export const CLAIMS_FLUSH_MS = 2_000
/** Seconds after which a refused caller should ask again. */
export const CLAIM_RETRY_AFTER_S = 1
