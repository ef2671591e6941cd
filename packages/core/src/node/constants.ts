/** Schema version of the records on the configuration stream. */
export const CONFIGURATION_SCHEMA = 1
/** Maximum load of a target, as a multiple of the mean load. */
export const DEFAULT_MAX_LOAD_FACTOR = 1.25
/** Rank of a request that matches no rule. */
export const DEFAULT_RANK = 5
/** Log service stream of configuration patches. */
export const CONFIGURATION_STREAM = 'configuration'

/** Request header: chat that the request belongs to. */
export const CHAT_HEADER = 'x-auburnbay-chat'
/** Request header: kind of the request, for which rules set the rank. */
export const REQUEST_KIND_HEADER = 'x-auburnbay-kind'
/** Request header: `false` marks a request that must not run twice. */
export const IDEMPOTENT_HEADER = 'x-auburnbay-idempotent'
/** Request header: milliseconds until the response is no longer needed. */
export const DEADLINE_HEADER = 'x-auburnbay-deadline-ms'
/** Request and response header: signed affinity hint. */
export const HINT_HEADER = 'x-auburnbay-hint'
/** Response header: whether the request ran, may have run or did not run. */
export const VERDICT_HEADER = 'x-auburnbay-verdict'
/** Response header: target that served the request. */
export const TARGET_HEADER = 'x-auburnbay-target'
/** Response header: `hit` or `miss` in the target's prompt cache. */
export const CACHE_HEADER = 'x-auburnbay-cache'
/** Request header to targets: request id that the target returns. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Number of stream records for which the outcome of a patch is kept. */
export const OUTCOME_WINDOW_RECORDS = 4096
/** Log service stream of configuration snapshots. */
export const SNAPSHOT_STREAM = 'snapshots'
/** Number of records between two configuration snapshots. */
export const SNAPSHOT_EVERY_RECORDS = 1000
/** Milliseconds that a router waits for the one ranked before it. */
export const SNAPSHOT_RANK_STEP_MS = 10_000
/** Maximum jitter of the delay before a snapshot, in milliseconds. */
export const SNAPSHOT_JITTER_MS = 2_000
/** Routers in a data centre that tail the configuration stream. */
export const TAILERS_PER_DATA_CENTRE = 3
/** Largest fleet in which every router sends heartbeats to all others. */
export const FULL_MESH_ROUTERS = 16
/** Fan-out of the digest tree of a data centre. */
export const DIGEST_FANOUT = 8
/** Log service stream of leases. */
export const LEASE_STREAM = 'leases'
/** Name of the lease that is required to send orders to engines. */
export const ORDER_LEASE = 'orders'
