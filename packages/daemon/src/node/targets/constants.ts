/** Response header of a target that refused a request before running it. */
export const REFUSED_HEADER = 'x-refused'
/** Response header in which an engine sends the id of the run. */
export const RUN_ID_HEADER = 'x-run-id'
/** Maximum number of targets recorded as echoing request ids. */
export const MAX_ECHOING_TARGETS = 16_384
/** Timeout of cancelling a run, in milliseconds. */
export const CANCEL_TIMEOUT_MS = 1_000
