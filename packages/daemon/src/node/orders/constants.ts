/** Milliseconds between two rounds of orders. */
export const ORDER_ROUND_MS = 1_000
/** Milliseconds that reading an engine's state may take. */
export const ORDER_READ_TIMEOUT_MS = 1_000
/** Milliseconds that an engine may take to answer an order. */
export const ORDER_SEND_TIMEOUT_MS = 120_000
/** Orders that are under way at once at most. */
export const ORDERS_AT_ONCE = 16
