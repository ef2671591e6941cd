import type { IncomingMessage } from 'node:http'

/** Whether a response states where its body ends; otherwise the body ends with the connection. */
export function hasLength({ headers }: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  )
}
