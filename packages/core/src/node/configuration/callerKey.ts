import { randomBytes } from 'node:crypto'
import {
  createSaltedHash,
  matchesSaltedHash,
  UNKNOWN_SECRET,
} from '../security/saltedHash.js'
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
  const keys = Object.hasOwn(cfg.customers, customer)
    ? cfg.customers[customer]?.keys
    : undefined
  const key = keys && Object.hasOwn(keys, keyId) ? keys[keyId] : undefined
  // An unknown name takes as long as a wrong secret.
  const matches = matchesSaltedHash(key ?? UNKNOWN_SECRET, secret, nowMs)
  return key && matches ? customer : undefined
}
