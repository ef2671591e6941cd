/** Bytes a second that a router may spend on control. */
export const CONTROL_BYTES_PER_S = 27_000
/** Share of a core that a router may spend on control. */
export const CONTROL_CORE_SHARE = 0.011
/** Milliseconds until the first token that the users ask for. */
export const FIRST_TOKEN_MS = 500
/** Share of that time that a router may add; the engine's prefill needs the rest. */
export const FIRST_TOKEN_SHARE = 0.5
/** Requests a second of one router at the target size: 100,000 over 2,600. */
export const REQUESTS_PER_ROUTER = 100_000 / 2_600
/** Engines of the briefing service today. */
export const ENGINES = 13
/** Entry VMs of a deployment today. */
export const ROUTERS = 9
/** Milliseconds until a router that gets no request no longer asks for loads. */
export const IDLE_AFTER_MS = 7_000
/** Milliseconds over which an idle router is observed: 600 ticks of its accounting. */
export const IDLE_WINDOW_MS = 6_000
/** Milliseconds of the window of observation under load. */
export const WINDOW_MS = 2_000
/** Milliseconds for a change of the fleet to settle. */
export const SETTLE_MS = 1_500
/** Requests of each way in the comparison of first bytes. */
export const FIRST_BYTE_SAMPLES = 150
/** Requests under way at once in the comparison of throughput. */
export const CONCURRENCY = 32
