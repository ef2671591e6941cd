import type { ServerResponse } from 'node:http'
import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'

/** Sends an error response, or closes the connection if headers were already sent. */
export function sendFailure(
  res: ServerResponse,
  failure: RequestFailure,
): void {
  if (res.headersSent) {
    res.destroy()
    return
  }
  const { code, message, retryAfterS, status } = failure
  const body = Buffer.from(JSON.stringify({ error: { code, message } }))
  const headers: (string | number)[] = [
    'Content-Type',
    'application/json',
    'Content-Length',
    body.length,
  ]
  if (retryAfterS !== undefined) headers.push('Retry-After', retryAfterS)
  res.writeHead(status, headers)
  res.end(body)
}
