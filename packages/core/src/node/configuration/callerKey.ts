import { randomBytes } from 'node:crypto'
import {
  createSaltedHash,
  matchesSaltedHash,
  DUMMY_HASH,
} from '../security/saltedHash.js'
import type {
  CallerKeyConfiguration,
  Configuration,
} from './configurationSchema.js'

const SECRET_BYTES = 24

/** A new caller key: `text` is for the caller, `stored` its salted hash. */
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

/** Returns the customer of a caller key, or undefined if the key is not valid. */
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
  // Hashes for unknown names too, so that timing does not reveal which names exist.
  const matches = matchesSaltedHash(key ?? DUMMY_HASH, secret, nowMs)
  return key && matches ? customer : undefined
}
