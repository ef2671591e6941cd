/** Targets of one group, on average. */
export const GROUP_TARGETS = 16
/** Points of each target on the ring that leads chats to groups. */
export const RING_POINTS = 16
/** Load up to which credits are lent, as a multiple of the mean load. */
export const LOAN_LOAD_FACTOR = 1
/** Credits lent on one target to one router at most. */
export const DEFAULT_LOAN_SIZE = 1
/** Credits outstanding, as a share of the requests in flight. */
export const LOAN_SHARE = 0.15
/** Milliseconds that a lent credit may be used. */
export const CREDIT_VALID_MS = 2_000
/** Milliseconds within which the home hears of finished requests. */
export const RETURN_MS = 1_000
/** Fall of a router's requests in flight that the home hears of at once. */
export const RETURN_AT_FALL = 2
/** Standard deviations by which the load is taken lower than known. */
export const LOAD_MARGIN_DEVIATIONS = 1
/** Requests by which the load is taken lower, for messages under way. */
export const LOAD_MARGIN_REQUESTS = 2
/** Milliseconds that a home remembers held places to judge late reports. */
export const REPORT_LAG_MS = 3_000
/** Requests in flight up to which the home hears of each fall at once. */
export const SMALL_LOAD = 4
