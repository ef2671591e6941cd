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
  /** Software version that began the stream which the caller resumes. */
  readonly softwareVersion?: string
}

/** Handles a request that a peer relays. */
export type RelayedRequestHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  relayed: RelayedRequest,
) => void

/** Header of a relayed request: remaining milliseconds, possible runs and, of a resumed stream, the software version. */
export const RELAY_HEADER = 'auburnbay-relay'
/** Header of a failure that a peer reports itself, with its verdict. */
export const RELAY_VERDICT_HEADER = 'auburnbay-verdict'

/** Header of a relayed response: the software version of the target that began it. */
export const RELAY_VERSION_HEADER = 'auburnbay-target-version'

/** Encodes a software version for a header, which it may be no valid value of. */
export function encodeSoftwareVersion(softwareVersion: string): string {
  return Buffer.from(softwareVersion).toString('base64url')
}

/** Decodes a software version; undefined if the peer, of an older release, does not name it. */
export function decodeSoftwareVersion(
  value: string | string[] | undefined,
): string | undefined {
  if (typeof value !== 'string') return undefined
  return Buffer.from(value, 'base64url').toString()
}

/** Encodes the value of {@link RELAY_HEADER}. */
export function encodeRelayedRequest({
  remainingMs,
  possibleRuns,
  softwareVersion,
}: RelayedRequest): string {
  const times = `${Math.floor(remainingMs)},${possibleRuns}`
  if (softwareVersion === undefined) return times
  return `${times},${encodeSoftwareVersion(softwareVersion)}`
}

/** Decodes the headers of a request; undefined if it is not relayed. */
export function decodeRelayedRequest(
  headers: IncomingHttpHeaders,
): RelayedRequest | undefined {
  const value = headers[RELAY_HEADER]
  if (typeof value !== 'string') return undefined
  const fields = value.split(',')
  const [remainingMs = NaN, possibleRuns = NaN] = fields.map(Number)
  if (!Number.isFinite(remainingMs) || !Number.isInteger(possibleRuns))
    return undefined
  const softwareVersion = decodeSoftwareVersion(fields[2])
  return {
    remainingMs,
    possibleRuns,
    ...(softwareVersion !== undefined && { softwareVersion }),
  }
}
