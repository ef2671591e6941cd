import { createHash, timingSafeEqual } from 'node:crypto'

/** Header that carries the routers' shared secret. */
export const PEER_SECRET_HEADER = 'x-auburnbay-peer'

// Hashed because `timingSafeEqual` requires inputs of equal length.
function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Compares two secrets in constant time. */
export function secretsMatch(given: string, expected: string): boolean {
  return timingSafeEqual(digest(given), digest(expected))
}
