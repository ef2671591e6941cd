const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const TIME_PREFIX = /^(\d{13})[.-]./

/** Milliseconds by which callers' clocks may run ahead of the log's. */
export const MAX_KEY_SKEW_MS = 10_000

/**
 * Returns the time that an idempotency key carries, in milliseconds since the
 * epoch: a UUID of version 7 (RFC 9562), or `MILLISECONDS.anything`.
 */
export function parseKeyTime(key: string): number | undefined {
  const uuid = UUID_V7.exec(key)
  if (uuid) return Number.parseInt(`${uuid[1]}${uuid[2]}`, 16)
  const prefix = TIME_PREFIX.exec(key)
  return prefix ? Number(prefix[1]) : undefined
}

/** Whether an earlier claim of a key would still be known. */
export function isKeyAfterHorizon(
  keyTimeMs: number,
  horizonMs: number,
): boolean {
  return keyTimeMs > horizonMs + MAX_KEY_SKEW_MS
}
