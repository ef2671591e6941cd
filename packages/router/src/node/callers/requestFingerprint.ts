import { createHash } from 'node:crypto'
import type { Call } from './call.js'

/** Length of a fingerprint in characters of 6 bits each. */
const FINGERPRINT_LENGTH = 16

/** Returns what identifies a request that comes again in another attempt: its customer, method, host, path and body. */
export function requestFingerprint({
  request,
  customer,
  method,
  path,
  body,
}: Pick<Call, 'request' | 'customer' | 'method' | 'path' | 'body'>): string {
  return createHash('sha256')
    .update(JSON.stringify([customer?.name, method, request.host, path]))
    .update(body)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH)
}
