/** Bytes a second that all control traffic of a router may take. */
export const CONTROL_BYTES_PER_S = 27_000
/** Times the mean load, and requests above it, that a target may hold. */
export const LOAD_FACTOR = 2
export const LOAD_MARGIN = 3
/** Part of placements that may be above the bound. */
export const MAX_OVER_SHARE = 0.03
/** Part of the prompt reuse of routers that know of each other at once. */
export const REUSE_OF_ALL_KNOWING = 0.95
