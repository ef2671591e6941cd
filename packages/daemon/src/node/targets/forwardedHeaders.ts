import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { connectionOptions, HOP_BY_HOP } from '@auburnbay/http-utils'

const DROPPED = new Set(HOP_BY_HOP)

const OWN_HEADER_PREFIX = 'x-auburnbay-'

const NEVER_TO_TARGETS = new Set([
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

/** Returns the headers of a caller's request that go on to a target. */
export function headersToTarget(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const named = connectionTokens(headers)
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (DROPPED.has(name) || NEVER_TO_TARGETS.has(name)) continue
    if (named.has(name)) continue
    kept[name] = value
  }
  return kept
}

/** Returns the headers of a target's answer that go back to the caller. */
export function headersToCaller(
  headers: IncomingHttpHeaders,
): OutgoingHttpHeaders {
  const named = connectionTokens(headers)
  const kept: OutgoingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (DROPPED.has(name) || named.has(name)) continue
    // Only routers say what these headers say.
    if (name.startsWith(OWN_HEADER_PREFIX)) continue
    kept[name] = value
  }
  return kept
}
