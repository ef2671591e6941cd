import { constants, gunzipSync, gzipSync } from 'node:zlib'
import * as v from 'valibot'
import { RequestKind } from '../configuration/requestKind.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { ResumableStreamsState } from '../streams/createResumableStreams.js'
import type { Target } from '../targets/target.js'
import { type EncodedRecord, isEncodedRecord } from './sharedRecord.js'

/** Largest decompressed state, in bytes; the memory of a router is a few times as large. */
const MAX_STATE_BYTES = 16 * 1024 * 1024

const routeSchema = v.object({
  name: v.string(),
  host: v.string(),
  pathPrefix: v.string(),
  kind: v.enum(RequestKind),
  services: v.array(v.object({ service: v.string(), weight: v.number() })),
  timeoutMs: v.number(),
  targetLatencyMs: v.number(),
  priority: v.number(),
  maxAttempts: v.number(),
  anonymous: v.boolean(),
  cachesPrompts: v.boolean(),
  resumable: v.boolean(),
})

const configurationSchema = v.object({
  version: v.number(),
  routes: v.array(routeSchema),
  services: v.array(
    v.object({
      name: v.string(),
      sharesCache: v.boolean(),
      coldStart: v.exactOptional(
        v.object({ ms: v.number(), requestsPerS: v.number() }),
      ),
    }),
  ),
  customers: v.exactOptional(
    v.array(
      v.object({
        name: v.string(),
        keys: v.array(v.string()),
        priority: v.exactOptional(v.number()),
      }),
    ),
  ),
  limits: v.object({
    maxBodyBytes: v.number(),
    headerTimeoutMs: v.number(),
    idleTimeoutMs: v.number(),
  }),
})

const targetSchema = v.object({
  id: v.string(),
  startedAtMs: v.exactOptional(v.number()),
  service: v.string(),
  host: v.string(),
  port: v.number(),
  dataCentre: v.exactOptional(v.string()),
  slots: v.number(),
  /** Missing in the state of an earlier release. */
  softwareVersion: v.optional(v.string(), ''),
  draining: v.boolean(),
})

const resumableStreamsSchema = v.object({
  streams: v.array(v.tuple([v.number(), v.string()])),
  history: v.object({
    coveredMs: v.number(),
    versions: v.array(v.tuple([v.string(), v.string(), v.number()])),
  }),
})

const stateSchema = v.object({
  configuration: v.exactOptional(configurationSchema),
  targets: v.exactOptional(v.array(targetSchema)),
  targetsAgeMs: v.nullable(v.number()),
  placements: v.exactOptional(v.array(v.tuple([v.string(), v.string()]))),
  resumableStreams: v.exactOptional(resumableStreamsSchema),
  records: v.exactOptional(
    v.array(v.custom<EncodedRecord>((value) => isEncodedRecord(value))),
  ),
})

/** State that a router has already when it fetches a peer's state. */
export interface PeerStateQuery {
  readonly knownVersion: number
  /** Fingerprint of the requester's target list, if it has one. */
  readonly targetsFingerprint?: number
  /** Whether the requester needs the cache locations and the resumable streams. */
  readonly wantsPlacements: boolean
  /** Whether the requester needs the shared records. */
  readonly wantsRecords: boolean
}

/** State that a router serves to a peer, without what the peer already has. */
export interface PeerState {
  readonly configuration?: RouterConfiguration
  readonly targets?: readonly Target[]
  /** Upper bound on the staleness of the server's target list, in milliseconds; null if unknown. */
  readonly targetsAgeMs: number | null
  /** Latest cache location of each prompt. */
  readonly placements?: readonly CacheLocation[]
  readonly resumableStreams?: ResumableStreamsState
  readonly records?: readonly EncodedRecord[]
}

/** Encodes a state, compressed as many routers may fetch it at once over narrow links. */
export function encodePeerState(state: PeerState): Buffer {
  return gzipSync(JSON.stringify(state), { level: constants.Z_BEST_SPEED })
}

/** Decodes a peer's response; undefined if it is invalid. */
export function decodePeerState(body: Buffer): PeerState | undefined {
  try {
    const text = gunzipSync(body, { maxOutputLength: MAX_STATE_BYTES })
    const parsed = v.safeParse(stateSchema, JSON.parse(text.toString()))
    return parsed.success ? parsed.output : undefined
  } catch {
    return undefined
  }
}
