import { randomBytes } from 'node:crypto'
import type { Configuration } from '../configuration/configurationSchema.js'
import {
  createSaltedHash,
  matchesSaltedHash,
  type SaltedHash,
  DUMMY_HASH,
} from '../security/saltedHash.js'
import { type Actor, findActor } from './actor.js'

const SECRET_BYTES = 24

/** A new operator token: `text` is for the operator, `stored` its salted hash. */
export interface NewOperatorToken {
  readonly text: string
  readonly stored: SaltedHash
}

/** Creates an operator token whose text is `operatorId/secret`. */
export function createOperatorToken(
  operatorId: string,
  secret: string = randomBytes(SECRET_BYTES).toString('base64url'),
): NewOperatorToken {
  return { text: `${operatorId}/${secret}`, stored: createSaltedHash(secret) }
}

/** Returns the operator of a token, or undefined if the token is invalid or expired. */
export function findOperator(
  cfg: Configuration,
  text: string,
  nowMs: number,
): Actor | undefined {
  const parts = text.split('/')
  if (parts.length !== 2) return undefined
  const [operatorId = '', secret = ''] = parts
  const token = Object.hasOwn(cfg.operators, operatorId)
    ? cfg.operators[operatorId]?.token
    : undefined
  // Hashes for unknown names too, so that timing does not reveal which names exist.
  const matches = matchesSaltedHash(token ?? DUMMY_HASH, secret, nowMs)
  return token && matches ? findActor(cfg, operatorId) : undefined
}
