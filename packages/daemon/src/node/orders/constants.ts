/** Milliseconds between two rounds of orders. */
export const ORDER_INTERVAL_MS = 1_000
/** Timeout for reading an engine's state or load, in milliseconds. */
export const ORDER_READ_TIMEOUT_MS = 1_000
/** Timeout for an engine's response to an order, in milliseconds. */
export const ORDER_SEND_TIMEOUT_MS = 120_000
/** Maximum number of orders in flight. */
export const MAX_CONCURRENT_ORDERS = 16
