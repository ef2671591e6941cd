import type { ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { RELAY_VERDICT_HEADER } from '../peers/relayedRequest.js'

/** Sends an error response, to a peer with its verdict, or closes the connection if headers were already sent. */
export function sendFailure(
  res: ServerResponse,
  failure: RequestFailure,
  isRelayed: boolean,
): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { code, message, retryAfterS, status, verdict } = failure
  const body = Buffer.from(JSON.stringify({ error: { code, message } }))
  const headers: (string | number)[] = [
    'Content-Type',
    'application/json',
    'Content-Length',
    body.length,
  ]
  if (retryAfterS !== undefined) headers.push('Retry-After', retryAfterS)
  if (isRelayed) headers.push(RELAY_VERDICT_HEADER, verdict)
  res.writeHead(status, headers)
  res.end(body)
}
