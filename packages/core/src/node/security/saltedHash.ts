import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'

const SALT_BYTES = 12

/** Checks a secret that is kept as a salted hash. */
export const saltedHashSchema = z.strictObject({
  salt: z.string().min(1),
  /** SHA-256 of salt and secret, in hexadecimal. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Milliseconds since the epoch. */
  expiresAtMs: z.int().positive().optional(),
})

/** A random secret as the configuration keeps it. */
export type SaltedHash = z.infer<typeof saltedHashSchema>

function digest(salt: string, secret: string): string {
  return createHash('sha256').update(salt).update(secret).digest('hex')
}

/** Hashes a random secret with a fresh salt. */
export function createSaltedHash(secret: string): SaltedHash {
  const salt = randomBytes(SALT_BYTES).toString('base64url')
  return { salt, hash: digest(salt, secret) }
}

/** Stands in for the hash of an unknown key; no secret matches it. */
export const UNKNOWN_SECRET: SaltedHash = { salt: '-', hash: '0'.repeat(64) }

/** Compares a secret with a hash in constant time; an expired one never matches. */
export function matchesSaltedHash(
  stored: SaltedHash,
  secret: string,
  nowMs: number,
): boolean {
  const given = Buffer.from(digest(stored.salt, secret), 'hex')
  const matches = timingSafeEqual(given, Buffer.from(stored.hash, 'hex'))
  const expired =
    stored.expiresAtMs !== undefined && stored.expiresAtMs <= nowMs
  return matches && !expired
}
