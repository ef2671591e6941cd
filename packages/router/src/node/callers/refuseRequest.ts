import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { requestEnd } from './requestEnd.js'
import { sendFailure } from './sendFailure.js'

/** Refuses a request whose body is not read, and ends its connection; `isRelayed` if a peer sent it. */
export function refuseRequest(
  req: IncomingMessage,
  res: ServerResponse,
  failure: RequestFailure,
  isRelayed: boolean,
): void {
  res.shouldKeepAlive = false
  req.resume()
  sendFailure(res, failure, isRelayed, requestEnd(req))
}
