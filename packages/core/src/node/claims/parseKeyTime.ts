const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const TIME_PREFIX = /^(\d{13})[.-]./

/** Milliseconds by which a caller's clock may be ahead of the log's clock. */
export const MAX_KEY_SKEW_MS = 10_000

/**
 * Returns the time in an idempotency key, in milliseconds since the epoch. The
 * key is a version 7 UUID (RFC 9562) or starts with 13 digits and one of `.-`,
 * as in `1645557742000.order-7`.
 */
export function parseKeyTime(key: string): number | undefined {
  const uuid = UUID_V7.exec(key)
  if (uuid) return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16)
  const prefix = TIME_PREFIX.exec(key)
  return prefix ? Number(prefix[1]) : undefined
}

/** Whether any earlier claim of a key would still be in the claim table. */
export function isKeyAfterHorizon(
  keyTimeMs: number,
  horizonMs: number,
): boolean {
  return keyTimeMs > horizonMs + MAX_KEY_SKEW_MS
}
