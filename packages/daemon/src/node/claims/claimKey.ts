import { createHash } from 'node:crypto'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** Bytes of a truncated digest; two inputs collide with probability 2^-128. */
const DIGEST_BYTES = 16

function digest(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) {
    // The length prefix keeps "ab", "c" distinct from "a", "bc".
    hash.update(`${Buffer.byteLength(part)}:`)
    hash.update(part)
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString('base64url')
}

/** Returns the key stored in the log, scoped to one customer and service. */
export function scopedKey(
  request: Pick<RoutedRequest, 'customer' | 'service'>,
  idempotencyKey: string,
): string {
  return digest([request.customer, request.service, idempotencyKey])
}

/** Returns the digest of a request's method, path and body. */
export function requestDigest(
  request: Pick<RoutedRequest, 'method' | 'path' | 'body'>,
): string {
  return digest([request.method, request.path, request.body])
}
