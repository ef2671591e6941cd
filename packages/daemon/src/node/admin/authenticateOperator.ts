import type { IncomingMessage } from 'node:http'
import {
  type Actor,
  BOOTSTRAP_ACTOR,
  type Configuration,
  findOperator,
} from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import { secretsMatch } from '../peers/peerSecret.js'
import { AdminErrorCode } from './adminErrorCode.js'
import { createErrorResponse } from './adminResponses.js'
import type { AdminResponse } from './adminRoute.js'

/** Returns the operator that the request's bearer token belongs to. */
export function authenticateOperator(
  req: IncomingMessage,
  cfg: Configuration,
  adminSecret: string,
  nowMs: number,
): Result<Actor, AdminResponse> {
  const token = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '')?.[1]
  if (token === undefined) {
    const message = 'send your token as `Authorization: Bearer TOKEN`'
    return err(createErrorResponse(AdminErrorCode.MissingToken, message))
  }
  if (secretsMatch(token, adminSecret)) return ok(BOOTSTRAP_ACTOR)
  const actor = findOperator(cfg, token, nowMs)
  if (actor) return ok(actor)
  const message =
    'the token is wrong or has expired; ask an owner of your team for one'
  return err(createErrorResponse(AdminErrorCode.WrongToken, message))
}
