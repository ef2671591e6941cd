/** Milliseconds that a call to the log service may take. */
export const LOG_CALL_TIMEOUT_MS = 2_000
/** Milliseconds that a log read waits for new records. */
export const LOG_POLL_WAIT_MS = 1_000
/** Milliseconds between tries while the log service is down. */
export const LOG_RETRY_MS = 500
/** Milliseconds that a poll of the VM list may take. */
export const VM_LIST_TIMEOUT_MS = 2_000
/** Milliseconds that a call to a peer may take. */
export const PEER_CALL_TIMEOUT_MS = 1_000
/** Milliseconds that a load report may take. */
export const LOAD_REPORT_TIMEOUT_MS = 1_000
/** Milliseconds between the checks of a pending operation. */
export const PATCH_CONFIRMATION_POLL_MS = 20
/** Milliseconds until a submitted patch counts as unknown. */
export const PATCH_CONFIRMATION_TIMEOUT_MS = 5_000
/** Path prefix of calls to plain services. */
export const SERVICE_PATH_PREFIX = '/v1/services/'
/** Path of chat completions. */
export const CHAT_PATH = '/v1/chat/completions'
/** Milliseconds between checks for callers that send too slowly. */
export const SLOW_CALLER_CHECK_MS = 250
