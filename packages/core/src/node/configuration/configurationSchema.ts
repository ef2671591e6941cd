import { z } from 'zod'
import { DEFAULT_MAX_LOAD_FACTOR, DEFAULT_RANK } from '../constants.js'
import { saltedHashSchema } from '../security/saltedHash.js'
import { operatorSchema, teamSchema } from '../teams/teamSchema.js'
import { engineStateSchema } from '../orders/engineState.js'
import { ServiceKind } from './serviceKind.js'

const id = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/)

const customerSchema = z.strictObject({
  team: id.optional(),
  /** Share of the queue relative to the other customers. */
  weight: z.number().positive().default(1),
  maxInFlight: z.int().positive().optional(),
  /** Requests a second over the whole fleet. */
  ratePerS: z.number().positive().optional(),
  keys: z.record(id, saltedHashSchema).default({}),
})

const serviceSchema = z.strictObject({
  team: id.optional(),
  kind: z.enum(ServiceKind),
  maxLoadFactor: z.number().min(1).default(DEFAULT_MAX_LOAD_FACTOR),
})

const targetSchema = z.strictObject({
  service: id,
  /** Host and port, `10.0.0.1:8000`. */
  address: z.string().regex(/^[^:/\s]+:\d{1,5}$/),
  dataCentre: id,
  weight: z.number().positive().default(1),
  /** Requests the target takes at once; the excess waits in the routers. */
  maxInFlight: z.int().positive().optional(),
  /** Whether the target refuses orders with an old fencing token. */
  checksFencing: z.boolean().default(false),
  /** What the engine is ordered to hold; no orders are sent without it. */
  desired: engineStateSchema.optional(),
  /** Whether the target gets no new requests. */
  draining: z.boolean().optional(),
})

const ruleSchema = z.strictObject({
  service: id.optional(),
  customer: id.optional(),
  requestKind: id.optional(),
  /** 0 is the most urgent. */
  rank: z.int().min(0).max(9),
})

/** Checks a whole configuration document. */
export const configurationSchema = z.strictObject({
  customers: z.record(id, customerSchema).default({}),
  services: z.record(id, serviceSchema).default({}),
  targets: z.record(id, targetSchema).default({}),
  rules: z.record(id, ruleSchema).default({}),
  defaultRank: z.int().min(0).max(9).default(DEFAULT_RANK),
  teams: z.record(id, teamSchema).default({}),
  operators: z.record(id, operatorSchema).default({}),
})

/** The document that operators patch. */
export type Configuration = z.infer<typeof configurationSchema>
/** One customer of the configuration. */
export type CustomerConfiguration = z.infer<typeof customerSchema>
/** One service of the configuration. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>
/** One target of the configuration. */
export type TargetConfiguration = z.infer<typeof targetSchema>
/** One rule that ranks requests. */
export type RuleConfiguration = z.infer<typeof ruleSchema>
/** One caller key, kept as a salted hash. */
export type CallerKeyConfiguration = z.infer<typeof saltedHashSchema>
