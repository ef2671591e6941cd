/** Average number of targets in a group. */
export const TARGETS_PER_GROUP = 16
/** Points of each target on the hash ring that maps chats to groups. */
export const RING_POINTS_PER_TARGET = 16
/** Load up to which credits are granted in advance, as a multiple of the mean load. */
export const CREDIT_LOAD_FACTOR = 1
/** Maximum number of credits that one router holds on one target. */
export const DEFAULT_CREDIT_BATCH_SIZE = 1
/** Maximum share of the requests in flight that is outstanding as credits. */
export const MAX_CREDIT_SHARE = 0.15
/** Milliseconds for which a credit is valid. */
export const CREDIT_TTL_MS = 2_000
/** Milliseconds within which finished requests are reported to the coordinator. */
export const REPORT_INTERVAL_MS = 1_000
/** Decrease of a router's requests in flight that is reported at once. */
export const REPORT_AT_DECREASE = 2
/** Standard deviations by which the load estimate is lowered. */
export const LOAD_MARGIN_DEVIATIONS = 1
/** Requests by which the load estimate is lowered, for messages in transit. */
export const LOAD_MARGIN_REQUESTS = 2
/** Milliseconds for which held slots are compared with delayed load reports. */
export const LOAD_REPORT_LAG_MS = 3_000
/** Requests in flight up to which every decrease is reported at once. */
export const SMALL_LOAD_REQUESTS = 4
