import type { IncomingMessage } from 'node:http'
import type { CallerRequest } from './callerRequest.js'

/** Decodes requests of callers. */
export interface CallerProtocol {
  decodeRequest(req: IncomingMessage): CallerRequest
}
