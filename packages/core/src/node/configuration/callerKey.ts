import { randomBytes } from 'node:crypto'
import { createSaltedHash, matchesSaltedHash } from '../security/saltedHash.js'
import type {
  CallerKeyConfiguration,
  Configuration,
} from './configurationSchema.js'

const SECRET_BYTES = 24

/** A new caller key: `text` goes to the caller, `stored` into the configuration. */
export interface NewCallerKey {
  readonly text: string
  readonly stored: CallerKeyConfiguration
}

/** Creates a caller key whose text is `customer/keyId/secret`. */
export function createCallerKey(
  customer: string,
  keyId: string,
  secret: string = randomBytes(SECRET_BYTES).toString('base64url'),
): NewCallerKey {
  return {
    text: `${customer}/${keyId}/${secret}`,
    stored: createSaltedHash(secret),
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
  return matchesSaltedHash(key, secret, nowMs) ? customer : undefined
}
