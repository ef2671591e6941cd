import { decode, encode } from '@msgpack/msgpack'
import * as v from 'valibot'

const digestSchema = v.object({
  router: v.string(),
  /** Names one start of the router. */
  incarnation: v.string(),
  /** Counts up with each digest. */
  sequence: v.number(),
  port: v.number(),
  configurationVersion: v.number(),
  /** Milliseconds since the router itself read configurations; null before the first time. */
  configurationReadMs: v.nullable(v.number()),
  /** Tells the router's list of targets apart from others. */
  targetsFingerprint: v.number(),
  /** Milliseconds since the router itself read the list of targets. */
  targetsReadMs: v.nullable(v.number()),
  /** Milliseconds up to which the router surely has all changes of the list. */
  targetsAgeMs: v.nullable(v.number()),
  stopping: v.boolean(),
  /** For each target with work: its place in the list of ids, requests in flight, prompt tokens to read in hundreds. */
  work: v.array(v.number()),
  /** Prompts since the last digest and the places in the list of their targets. */
  placed: v.array(v.pipe(v.tuple([v.string(), v.number()]), v.readonly())),
})

/** What a router tells its peers several times a second. */
export type PeerDigest = v.InferOutput<typeof digestSchema>

/** Fields in the order in which a datagram has them; their names are not sent. */
const FIELDS = Object.keys(digestSchema.entries) as (keyof PeerDigest)[]

/** Reads a datagram; undefined where it is no digest. */
export function decodeDigest(datagram: Uint8Array): PeerDigest | undefined {
  try {
    const values = decode(datagram)
    if (!Array.isArray(values)) return undefined
    const fields = FIELDS.map((name, at): [string, unknown] => [
      name,
      values[at],
    ])
    const parsed = v.safeParse(digestSchema, Object.fromEntries(fields))
    return parsed.success ? parsed.output : undefined
  } catch {
    return undefined
  }
}

/** Writes a digest as a datagram. */
export function encodeDigest(digest: PeerDigest): Uint8Array {
  return encode(FIELDS.map((name) => digest[name]))
}
