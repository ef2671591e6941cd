/** Maximum number of records in one append. */
export const MAX_BATCH_RECORDS = 500
/** Maximum queue length when releases and outcomes are retried; drops the oldest. */
export const MAX_QUEUED_RECORDS = 10_000
/** Maximum number of abandoned claims whose late decisions are tracked. */
export const MAX_ABANDONED_CLAIMS = 10_000
/** Milliseconds that stopping waits for queued records to be appended. */
export const CLAIMS_FLUSH_TIMEOUT_MS = 2_000
/** Seconds after which a refused caller should retry. */
export const CLAIM_RETRY_AFTER_S = 1
