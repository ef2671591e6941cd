/** Schema version of the records on the configuration stream. */
export const CONFIGURATION_SCHEMA = 1
/** Load a target may reach, as a multiple of the mean load. */
export const DEFAULT_MAX_LOAD_FACTOR = 1.25
/** Rank of a request that no rule names. */
export const DEFAULT_RANK = 5
/** Stream of the log service that carries configuration patches. */
export const CONFIGURATION_STREAM = 'configuration'

/** Request header: the chat that a request belongs to. */
export const CHAT_HEADER = 'x-auburnbay-chat'
/** Request header: the kind of a request, which rules rank. */
export const REQUEST_KIND_HEADER = 'x-auburnbay-kind'
/** Request header: `false` marks a request that must not run twice. */
export const IDEMPOTENT_HEADER = 'x-auburnbay-idempotent'
/** Request header: milliseconds until the answer is of no use. */
export const DEADLINE_HEADER = 'x-auburnbay-deadline-ms'
/** Request and response header: the signed affinity hint. */
export const HINT_HEADER = 'x-auburnbay-hint'
/** Response header: whether the request may have run. */
export const VERDICT_HEADER = 'x-auburnbay-verdict'
/** Response header: the target that served the request. */
export const TARGET_HEADER = 'x-auburnbay-target'
/** Response header: `hit` or `miss` of the target's prompt cache. */
export const CACHE_HEADER = 'x-auburnbay-cache'
/** Request header towards targets: identity that the target echoes. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Records after which a patch's outcome is forgotten. */
export const OUTCOME_WINDOW_RECORDS = 4096
/** Stream of the log service that carries configuration snapshots. */
export const SNAPSHOT_STREAM = 'snapshots'
/** Records after which the next configuration snapshot is written. */
export const SNAPSHOT_EVERY_RECORDS = 1000
/** Milliseconds by which each further router waits for the one before it. */
export const SNAPSHOT_RANK_STEP_MS = 10_000
/** Longest extra wait before a snapshot is written, in milliseconds. */
export const SNAPSHOT_JITTER_MS = 2_000
/** Routers of a data centre that read the configuration from the log. */
export const TAILERS_PER_DATA_CENTRE = 3
/** Up to so many routers, every router exchanges heartbeats with all others. */
export const FULL_MESH_ROUTERS = 16
/** Routers that follow one router in the tree of a data centre. */
export const DIGEST_FANOUT = 8
