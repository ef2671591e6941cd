/** Timeout of a call to the log service, in milliseconds. */
export const LOG_CALL_TIMEOUT_MS = 2_000
/** Longest wait of a log read for new records, in milliseconds. */
export const LOG_POLL_WAIT_MS = 1_000
/**
 * Milliseconds between two attempts to read the log while it is unavailable.
 */
export const LOG_RETRY_MS = 500
/** Timeout of a poll of the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 2_000
/** Timeout of a call to a peer, in milliseconds. */
export const PEER_CALL_TIMEOUT_MS = 1_000
/** Timeout of a poll of a target's load or cache events, in milliseconds. */
export const LOAD_REPORT_TIMEOUT_MS = 1_000
/** Milliseconds between two checks whether the log holds a submitted patch. */
export const PATCH_CONFIRMATION_POLL_MS = 20
/** Milliseconds until the outcome of a submitted patch counts as unknown. */
export const PATCH_CONFIRMATION_TIMEOUT_MS = 5_000
/** Path prefix of requests to plain services. */
export const SERVICE_PATH_PREFIX = '/v1/services/'
/** Path of chat completion requests. */
export const CHAT_PATH = '/v1/chat/completions'
/** Milliseconds between two checks for requests that arrive too slowly. */
export const SLOW_CALLER_CHECK_MS = 250
