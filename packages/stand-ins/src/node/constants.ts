/** Largest request body a stand-in reads, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024
/** Records a log read returns at most. */
export const LOG_READ_LIMIT = 1000
/** Words an engine generates for a prompt unless told otherwise. */
export const DEFAULT_ENGINE_WORDS = 12
/** Chats whose prompt prefix an engine's cache holds. */
export const DEFAULT_CACHE_CHATS = 64
/** Runs whose streams an engine can resume. */
export const DEFAULT_KEPT_RUNS = 1024
