import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from 'node:http'

/** What a router tells the peer that it relays a request through. */
export interface RelayedRequest {
  /** Milliseconds until the final response is due. */
  readonly remainingMs: number
  /** Sends that a target ran or may have run before. */
  readonly possibleRuns: number
}

/** Handles a request that a peer relays. */
export type RelayedRequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  relayed: RelayedRequest,
) => void

/** Header of a relayed request: remaining milliseconds and possible runs. */
export const RELAY_HEADER = 'auburnbay-relay'
/** Header of a failure that a peer reports itself, with its verdict. */
export const RELAY_VERDICT_HEADER = 'auburnbay-verdict'

/** Encodes the value of {@link RELAY_HEADER}. */
export function encodeRelayedRequest({
  remainingMs,
  possibleRuns,
}: RelayedRequest): string {
  return `${Math.floor(remainingMs)},${possibleRuns}`
}

/** Decodes the headers of a request; undefined if it is not relayed. */
export function decodeRelayedRequest(
  headers: IncomingHttpHeaders,
): RelayedRequest | undefined {
  const value = headers[RELAY_HEADER]
  if (typeof value !== 'string') return undefined
  const [remainingMs = NaN, possibleRuns = NaN] = value.split(',').map(Number)
  if (!Number.isFinite(remainingMs) || !Number.isInteger(possibleRuns))
    return undefined
  return { remainingMs, possibleRuns }
}
