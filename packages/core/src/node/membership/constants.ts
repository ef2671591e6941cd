/** Milliseconds after which a departure expires unless peers report it again. */
export const DEPARTURE_TTL_MS = 6_000
/** Maximum number of departures in a heartbeat. */
export const MAX_HEARTBEAT_DEPARTURES = 256
/** Hold of a target after its first flap, in milliseconds; each further one doubles it. */
export const FLAP_BASE_HOLD_MS = 3_000
/** Upper bound of the hold of a flapping target, in milliseconds. */
export const FLAP_MAX_HOLD_MS = 60_000
/** Milliseconds without a flap after which the flap count is reset. */
export const FLAP_RESET_MS = 300_000
/** Maximum number of departed targets in a membership view. */
export const MAX_DEPARTED_TARGETS = 20_000
/** Milliseconds between two ticks above which the process is considered paused. */
export const MAX_TICK_GAP_MS = 1_000
/** Milliseconds for which a router announces a departure that its own VM list showed. */
export const DEPARTURE_ANNOUNCE_MS = 60_000
/** Maximum number of departures reported by peers in a membership view. */
export const MAX_REPORTED_DEPARTURES = 4_096
