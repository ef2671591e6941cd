/** Largest request body that a stand-in reads, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024
/** Maximum number of records that one read of a log returns. */
export const LOG_READ_LIMIT = 1000
/** Words of an engine's response by default. */
export const DEFAULT_ENGINE_WORDS = 12
/** Chats whose prompt prefix an engine's cache holds by default. */
export const DEFAULT_CACHE_CHATS = 64
/** Number of most recent runs whose streams an engine can resume. */
export const DEFAULT_RESUMABLE_RUNS = 1024
