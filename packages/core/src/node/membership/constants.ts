/** Milliseconds for which a heard departure counts without being heard again. */
export const LEAVING_TTL_MS = 10_000
/** Departures that a heartbeat carries at most. */
export const LEAVING_MAX_IDS = 256
/** Shortest hold of a target that came back, in milliseconds. */
export const FLAP_HOLD_MS = 3_000
/** Longest hold of a target that came back, in milliseconds. */
export const FLAP_MAX_HOLD_MS = 60_000
/** Milliseconds without a change after which flaps are forgotten. */
export const FLAP_MEMORY_MS = 300_000
/** Departed targets that a view remembers at most. */
export const DEPARTED_MAX_IDS = 20_000
/** Longest time between two ticks that does not count as a pause, in milliseconds. */
export const PAUSE_MS = 1_000
