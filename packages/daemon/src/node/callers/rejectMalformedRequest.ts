import type { Duplex } from 'node:stream'
import { Verdict, VERDICT_HEADER } from '@auburnbay/core'

/** The response to a request that Node's HTTP parser rejected. */
interface ParseErrorResponse {
  readonly status: string
  readonly message: string
}

function toErrorResponse(code: string | undefined): ParseErrorResponse {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return {
        status: '431 Request Header Fields Too Large',
        message: 'the headers are too large',
      }
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return {
        status: '408 Request Timeout',
        message: 'the request came too slowly',
      }
    default:
      return {
        status: '400 Bad Request',
        message: 'the request is not valid HTTP/1.1',
      }
  }
}

/** Handles `clientError`: sends an error response and closes the connection. */
export function rejectMalformedRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const { status, message } = toErrorResponse(error.code)
  const verdict = Verdict.NotRun
  const body = JSON.stringify({
    error: { code: 'bad-request', message, verdict },
  })
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${VERDICT_HEADER}: ${verdict}`,
    'connection: close',
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
