import { constants, gunzipSync, gzipSync } from 'node:zlib'
import * as v from 'valibot'
import { RequestKind } from '../configuration/requestKind.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { CacheLocation } from '../routing/createCacheLocations.js'
import type { Target } from '../targets/target.js'

/** Bytes of a state once inflated; a router's whole memory is a few times as much. */
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
  service: v.string(),
  host: v.string(),
  port: v.number(),
  slots: v.number(),
  draining: v.boolean(),
})

const stateSchema = v.object({
  configuration: v.exactOptional(configurationSchema),
  targets: v.exactOptional(v.array(targetSchema)),
  targetsAgeMs: v.nullable(v.number()),
  placements: v.exactOptional(v.array(v.tuple([v.string(), v.string()]))),
})

/** What a router that asks for a peer's state has already. */
export interface PeerStateQuery {
  readonly knownVersion: number
  /** Fingerprint of the asker's list of targets, where it knows one. */
  readonly targetsFingerprint?: number
  /** Whether the asker needs to learn where prompts are cached. */
  readonly wantsPlacements: boolean
}

/** What a router lends to a peer; what the peer has already is left out. */
export interface PeerState {
  readonly configuration?: RouterConfiguration
  readonly targets?: readonly Target[]
  /** Milliseconds up to which the lender surely has all changes of the list; null before the first time. */
  readonly targetsAgeMs: number | null
  /** Where prompts are cached. */
  readonly placements?: readonly CacheLocation[]
}

/** Writes a state; many routers may fetch it at once over narrow links. */
export function encodePeerState(state: PeerState): Buffer {
  return gzipSync(JSON.stringify(state), { level: constants.Z_BEST_SPEED })
}

/** Reads a peer's answer; undefined where it is none. */
export function decodePeerState(answer: Buffer): PeerState | undefined {
  try {
    const text = gunzipSync(answer, { maxOutputLength: MAX_STATE_BYTES })
    const parsed = v.safeParse(stateSchema, JSON.parse(text.toString()))
    return parsed.success ? parsed.output : undefined
  } catch {
    return undefined
  }
}
