import type { IncomingMessage } from 'node:http'

/** Time that a caller has to send the rest of a body that is discarded, in milliseconds. */
const MAX_WAIT_MS = 1_000

/**
 * Resolves once a request has ended, or after a time. A connection that is closed
 * before is reset, and its caller may lose the response.
 */
export function requestEnd(req: IncomingMessage): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(finish, MAX_WAIT_MS)
    function finish(): void {
      clearTimeout(timer)
      resolve()
    }
    req.once('end', finish)
    req.once('close', finish)
  })
}
