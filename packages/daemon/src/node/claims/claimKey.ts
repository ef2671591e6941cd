import { createHash } from 'node:crypto'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** Bytes of a digest that are kept; two differ but for one chance in 2^128. */
const DIGEST_BYTES = 16

function digest(parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) {
    // The length keeps neighbouring parts apart.
    hash.update(`${Buffer.byteLength(part)}:`)
    hash.update(part)
  }
  return hash.digest().subarray(0, DIGEST_BYTES).toString('base64url')
}

/** Returns the key as the log carries it: one customer's, on one service. */
export function scopedKey(
  request: Pick<RoutedRequest, 'customer' | 'service'>,
  idempotencyKey: string,
): string {
  return digest([request.customer, request.service, idempotencyKey])
}

/** Returns the digest of what a request asks for. */
export function requestDigest(
  request: Pick<RoutedRequest, 'method' | 'path' | 'body'>,
): string {
  return digest([request.method, request.path, request.body])
}
