import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'

const SALT_BYTES = 12

/** Schema of a salted hash. */
export const saltedHashSchema = z.strictObject({
  salt: z.string().min(1),
  /** SHA-256 of the salt followed by the secret, in hexadecimal. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Expiry in milliseconds since the epoch; never expires if absent. */
  expiresAtMs: z.int().positive().optional(),
})

/** Salted hash of a random secret, as stored in the configuration. */
export type SaltedHash = z.infer<typeof saltedHashSchema>

function hashSecret(salt: string, secret: string): string {
  return createHash('sha256').update(salt).update(secret).digest('hex')
}

/** Hashes a random secret with a new salt. */
export function createSaltedHash(secret: string): SaltedHash {
  const salt = randomBytes(SALT_BYTES).toString('base64url')
  return { salt, hash: hashSecret(salt, secret) }
}

/** Hash to compare with when a name is unknown; no secret matches it. */
export const DUMMY_HASH: SaltedHash = { salt: '-', hash: '0'.repeat(64) }

/** Compares a secret with a hash in constant time; an expired hash never matches. */
export function matchesSaltedHash(
  stored: SaltedHash,
  secret: string,
  nowMs: number,
): boolean {
  const given = Buffer.from(hashSecret(stored.salt, secret), 'hex')
  const matches = timingSafeEqual(given, Buffer.from(stored.hash, 'hex'))
  const expired =
    stored.expiresAtMs !== undefined && stored.expiresAtMs <= nowMs
  return matches && !expired
}
