/** Bytes a second that a router's control traffic may use. */
export const MAX_CONTROL_BYTES_PER_S = 27_000
/** Multiple of the mean load that a target may have in flight. */
export const LOAD_FACTOR = 2
/** Requests that a target may have in flight beyond {@link LOAD_FACTOR} times the mean. */
export const LOAD_MARGIN = 3
/** Share of requests that may be sent to a target above the load bound. */
export const MAX_OVER_BOUND_SHARE = 0.03
/** Lowest prompt reuse, relative to routers that share their state instantly. */
export const MIN_REUSE_RATIO = 0.95
