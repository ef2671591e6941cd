import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { connectionOptions, HOP_BY_HOP } from '@auburnbay/http-utils'

const HOP_BY_HOP_HEADERS = new Set(HOP_BY_HOP)

const ROUTER_HEADER_PREFIX = 'x-auburnbay-'

const WITHHELD_FROM_TARGETS = new Set([
  'authorization',
  'host',
  'content-length',
  'expect',
  'traceparent',
  'tracestate',
  'x-auburnbay-hint',
  'x-request-id',
])

function connectionTokens(headers: IncomingHttpHeaders): Set<string> {
  return new Set(connectionOptions(headers.connection ?? ''))
}

/** Returns the headers of a caller's request that are forwarded to a target. */
export function headersToTarget(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const connectionHeaders = connectionTokens(headers)
  const forwarded: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || WITHHELD_FROM_TARGETS.has(name))
      continue
    if (connectionHeaders.has(name)) continue
    forwarded[name] = value
  }
  return forwarded
}

/**
 * Returns the headers of a target's response that are forwarded to the caller.
 */
export function headersToCaller(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const connectionHeaders = connectionTokens(headers)
  const forwarded: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name)) continue
    // These headers are set by routers only.
    if (name.startsWith(ROUTER_HEADER_PREFIX)) continue
    forwarded[name] = value
  }
  return forwarded
}
