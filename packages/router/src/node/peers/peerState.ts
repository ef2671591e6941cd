import * as v from 'valibot'
import { RequestKind } from '../configuration/requestKind.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import type { Placement } from '../routing/createPlacements.js'
import type { Target } from '../targets/target.js'

const routeSchema = v.object({
  name: v.string(),
  host: v.string(),
  pathPrefix: v.string(),
  kind: v.enum(RequestKind),
  services: v.array(v.object({ service: v.string(), weight: v.number() })),
  timeoutMs: v.number(),
  targetLatencyMs: v.number(),
  targetGapMs: v.number(),
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
      connectionLimit: v.number(),
      cacheTokens: v.number(),
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
  dataCentre: v.string(),
  slots: v.number(),
  draining: v.boolean(),
})

const stateSchema = v.object({
  configuration: v.exactOptional(configurationSchema),
  targets: v.array(targetSchema),
  /** Milliseconds since the router read the list of targets itself; null before the first time. */
  targetsAgeMs: v.nullable(v.number()),
  placements: v.array(v.tuple([v.string(), v.string()])),
})

/** What a router lends to a peer that cannot read its sources. */
export interface PeerState {
  readonly configuration?: RouterConfiguration
  readonly targets: readonly Target[]
  readonly targetsAgeMs: number | null
  /** Where prompts are cached. */
  readonly placements: readonly Placement[]
}

/** Reads a peer's answer; undefined where it is none. */
export function decodePeerState(body: unknown): PeerState | undefined {
  const parsed = v.safeParse(stateSchema, body)
  return parsed.success ? parsed.output : undefined
}
