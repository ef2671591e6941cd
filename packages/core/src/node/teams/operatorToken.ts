import { randomBytes } from 'node:crypto'
import type { Configuration } from '../configuration/configurationSchema.js'
import {
  createSaltedHash,
  matchesSaltedHash,
  type SaltedHash,
  UNKNOWN_SECRET,
} from '../security/saltedHash.js'
import { type Actor, findActor } from './actor.js'

const SECRET_BYTES = 24

/** A new operator token: `text` goes to the operator, `stored` into the configuration. */
export interface NewOperatorToken {
  readonly text: string
  readonly stored: SaltedHash
}

/** Creates a token whose text is `operatorId/secret`. */
export function createOperatorToken(
  operatorId: string,
  secret: string = randomBytes(SECRET_BYTES).toString('base64url'),
): NewOperatorToken {
  return { text: `${operatorId}/${secret}`, stored: createSaltedHash(secret) }
}

/** Returns the operator whose token this is, or undefined for a wrong or expired one. */
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
  // An unknown name takes as long as a wrong secret.
  const matches = matchesSaltedHash(token ?? UNKNOWN_SECRET, secret, nowMs)
  return token && matches ? findActor(cfg, operatorId) : undefined
}
