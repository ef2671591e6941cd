import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type {
  CallerKeyConfiguration,
  Configuration,
} from './configurationSchema.js'

const SECRET_BYTES = 24
const SALT_BYTES = 12

/** A new caller key: `text` goes to the caller, `stored` into the configuration. */
export interface NewCallerKey {
  readonly text: string
  readonly stored: CallerKeyConfiguration
}

function digest(salt: string, secret: string): string {
  return createHash('sha256').update(salt).update(secret).digest('hex')
}

/** Creates a caller key whose text is `customer.keyId.secret`. */
export function createCallerKey(
  customer: string,
  keyId: string,
  secret: string = randomBytes(SECRET_BYTES).toString('base64url'),
): NewCallerKey {
  const salt = randomBytes(SALT_BYTES).toString('base64url')
  return {
    text: `${customer}/${keyId}/${secret}`,
    stored: { salt, hash: digest(salt, secret) },
  }
}

/** Returns the customer that a caller key names, or undefined for a wrong key. */
export function findCustomer(
  cfg: Configuration,
  text: string,
  nowMs: number,
): string | undefined {
  const [customer = '', keyId = '', secret = ''] = text.split('/')
  if (!Object.hasOwn(cfg.customers, customer)) return undefined
  const keys = cfg.customers[customer]?.keys ?? {}
  if (!Object.hasOwn(keys, keyId)) return undefined
  const key = keys[keyId]
  if (!key) return undefined
  if (key.expiresAtMs !== undefined && key.expiresAtMs <= nowMs)
    return undefined
  const given = Buffer.from(digest(key.salt, secret), 'hex')
  return timingSafeEqual(given, Buffer.from(key.hash, 'hex'))
    ? customer
    : undefined
}
