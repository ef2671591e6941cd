import type { ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import { RELAY_VERDICT_HEADER } from '../peers/relayedRequest.js'

/** Ends a response such that it does not look complete. */
function breakOff(res: ServerResponse): void {
  // Without chunks, a connection that is closed in order ends the body.
  if (res.req.httpVersionMinor === 0) res.socket?.resetAndDestroy()
  res.destroy()
}

/**
 * Sends an error response, to a peer with its verdict, or closes the connection if
 * headers were already sent.
 * @param endsAfter Time from which the connection may be closed or used again.
 */
export function sendFailure(
  res: ServerResponse,
  failure: RequestFailure,
  isRelayed: boolean,
  endsAfter?: Promise<void>,
): void {
  if (res.headersSent) {
    breakOff(res)
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
  if (!endsAfter) {
    res.end(body)
    return
  }
  res.write(body)
  void endsAfter.then(() => res.end())
}
