/** Bytes per second that a router may spend on control traffic. */
export const MAX_CONTROL_BYTES_PER_S = 27_000
/** Share of a core that a router may spend on control work. */
export const MAX_CONTROL_CORE_SHARE = 0.011
/** Target time to the first token, in milliseconds. */
export const FIRST_TOKEN_MS = 500
/** Share of {@link FIRST_TOKEN_MS} that a router may add; the engine's prefill needs the rest. */
export const MAX_FIRST_TOKEN_SHARE = 0.5
/** Requests per second of one router at the target size: 100,000 over 2,600 routers. */
export const ROUTER_REQUESTS_PER_S = 100_000 / 2_600
/** Engines of the briefing service in the current deployment. */
export const ENGINES = 13
/** Routers in the current deployment. */
export const ROUTERS = 9
/** Milliseconds without requests after which a router stops polling target loads. */
export const IDLE_DELAY_MS = 7_000
/** Observation window of an idle router, in milliseconds: 600 ticks of CPU accounting. */
export const IDLE_WINDOW_MS = 6_000
/** Observation window under load, in milliseconds. */
export const WINDOW_MS = 2_000
/** Milliseconds that a change of the fleet takes to settle. */
export const SETTLE_MS = 1_500
/** Requests per path in the comparison of the time to first byte. */
export const FIRST_BYTE_SAMPLES = 150
/** Concurrent requests in the comparison of throughput. */
export const CONCURRENCY = 32
