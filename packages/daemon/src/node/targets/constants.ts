/** Response header of a target that refused a request before running it. */
export const REFUSED_HEADER = 'x-refused'
/** Response header of an engine: the identity of the run. */
export const RUN_ID_HEADER = 'x-run-id'
/** Targets whose habits are remembered at most. */
export const MAX_ECHOING_TARGETS = 16_384
/** Milliseconds that cancelling a run may take. */
export const CANCEL_TIMEOUT_MS = 1_000
