import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'

/** Ends the response with a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: OutgoingHttpHeaders = {},
): void {
  const body = Buffer.from(JSON.stringify(value))
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  })
  res.end(body)
}
