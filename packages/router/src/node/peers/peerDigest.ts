import { decode, encode } from '@msgpack/msgpack'
import * as v from 'valibot'
import {
  type EncodedPolls,
  isEncodedPolls,
} from '../dissemination/createPollers.js'
import { DigestLink } from '../dissemination/digestLink.js'
import {
  type EncodedPeerReport,
  isEncodedPeerReport,
} from '../membership/peerReport.js'
import { type EncodedRecord, isEncodedRecord } from './sharedRecord.js'
import {
  isStreamsOfVersion,
  type StreamsOfVersion,
} from '../streams/streamVersion.js'

/** A new cache location: an affinity key and a target id. An earlier release sent indexes, which are ignored. */
type PlacedPrompt = readonly [key: string, target: string | number]

// The arrays are checked by hand: a digest arrives from many peers several times
// per second, and a schema allocates an object for each item.
function isNumberArray(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item === 'number')
}

function isPlacedPrompt(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 2) return false
  const [key, target] = value as unknown[]
  const isTarget = typeof target === 'string' || typeof target === 'number'
  return typeof key === 'string' && isTarget
}

const digestSchema = v.object({
  router: v.string(),
  /** Identifies one start of the router. */
  incarnation: v.string(),
  /** Increases with each digest. */
  sequence: v.number(),
  port: v.number(),
  configurationVersion: v.number(),
  /** Milliseconds since the router itself polled configurations; null before the first poll. */
  configurationReadMs: v.nullable(v.number()),
  /** Hash of the router's target list, to compare it with others. */
  targetsFingerprint: v.number(),
  /** Milliseconds since the router itself polled the target list; null before the first poll and after an invalidation. */
  targetsReadMs: v.nullable(v.number()),
  /** Upper bound on the staleness of the router's target list, in milliseconds; null if unknown. */
  targetsAgeMs: v.nullable(v.number()),
  stopping: v.boolean(),
  /** For each target with load: its index in the list of ids, requests in flight, pending prompt tokens in hundreds. */
  work: v.custom<readonly number[]>(isNumberArray),
  /** New cache locations. */
  placed: v.custom<readonly PlacedPrompt[]>(
    (value) => Array.isArray(value) && value.every(isPlacedPrompt),
  ),
  /** Restores of the log that the router has seen; null if unknown. */
  logRestores: v.optional(v.nullable(v.number()), null),
  /** Streams whose version peers cannot tell by themselves. */
  streams: v.optional(
    v.custom<readonly StreamsOfVersion[]>(
      (value) => Array.isArray(value) && value.every(isStreamsOfVersion),
    ),
    [],
  ),
  /** New shared records, of this router and of its peers. */
  records: v.optional(
    v.custom<readonly EncodedRecord[]>(
      (value) => Array.isArray(value) && value.every(isEncodedRecord),
    ),
    [],
  ),
  /** Hash of the router's shared records; null in the digest of an earlier release. */
  recordsFingerprint: v.optional(v.nullable(v.number()), null),
  /** Milliseconds since a target responded to the router; null if it reaches none. */
  targetResponseMs: v.optional(v.nullable(v.number()), null),
  /** How the sender stands to the receiver; null in the digest of an earlier release, which sums up nobody else's load. */
  link: v.optional(v.nullable(v.enum(DigestLink)), null),
  /** Other routers, a few at a time. */
  reports: v.optional(
    v.custom<readonly EncodedPeerReport[]>(
      (value) => Array.isArray(value) && value.every(isEncodedPeerReport),
    ),
    [],
  ),
  /** Last polls of other routers. */
  polls: v.optional(
    v.custom<readonly EncodedPolls[]>(
      (value) => Array.isArray(value) && value.every(isEncodedPolls),
    ),
    [],
  ),
})

/** State that a router broadcasts to its peers several times per second. */
export type PeerDigest = v.InferOutput<typeof digestSchema>

/** Fields in their order in a datagram, which has no field names. */
const FIELDS = Object.keys(digestSchema.entries) as (keyof PeerDigest)[]

/** Decodes a datagram; undefined if it is not a valid digest. */
export function decodeDigest(datagram: Uint8Array): PeerDigest | undefined {
  try {
    const values = decode(datagram)
    if (!Array.isArray(values)) return undefined
    const fields = FIELDS.map((name, index): [string, unknown] => [
      name,
      values[index],
    ])
    const parsed = v.safeParse(digestSchema, Object.fromEntries(fields))
    return parsed.success ? parsed.output : undefined
  } catch {
    return undefined
  }
}

/** Encodes a digest as a datagram. */
export function encodeDigest(digest: PeerDigest): Uint8Array {
  return encode(FIELDS.map((name) => digest[name]))
}
