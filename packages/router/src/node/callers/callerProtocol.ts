import type { IncomingMessage } from 'node:http'
import type { CallerRequest } from './callerRequest.js'

/** How callers' requests are read. */
export interface CallerProtocol {
  decodeRequest(req: IncomingMessage): CallerRequest
}
