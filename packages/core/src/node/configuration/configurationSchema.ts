import { z } from 'zod'
import { DEFAULT_MAX_LOAD_FACTOR, DEFAULT_RANK } from '../constants.js'
import { saltedHashSchema } from '../security/saltedHash.js'
import { operatorSchema, teamSchema } from '../teams/teamSchema.js'
import { engineStateSchema } from '../orders/engineState.js'
import { ServiceKind } from './serviceKind.js'

const id = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/)

const customerSchema = z.strictObject({
  team: id.optional(),
  /** Weight in the fair sharing of the queue between customers. */
  weight: z.number().positive().default(1),
  maxInFlight: z.int().positive().optional(),
  /** Requests per second over the whole fleet. */
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
  /** Host and port, such as `10.0.0.1:8000`. */
  address: z.string().regex(/^[^:/\s]+:\d{1,5}$/),
  dataCentre: id,
  weight: z.number().positive().default(1),
  /** Concurrent requests on the target; further ones queue in the routers. */
  maxInFlight: z.int().positive().optional(),
  /** Whether the target refuses orders with an old fencing token. */
  checksFencing: z.boolean().default(false),
  /** State that the engine is to have; orders are sent only if it is set. */
  desired: engineStateSchema.optional(),
  /** Whether the target is draining and gets no new requests. */
  draining: z.boolean().optional(),
})

const ruleSchema = z.strictObject({
  service: id.optional(),
  customer: id.optional(),
  requestKind: id.optional(),
  /** 0 is the highest priority, 9 the lowest. */
  rank: z.int().min(0).max(9),
})

/** Schema of the configuration document. */
export const configurationSchema = z.strictObject({
  customers: z.record(id, customerSchema).default({}),
  services: z.record(id, serviceSchema).default({}),
  targets: z.record(id, targetSchema).default({}),
  rules: z.record(id, ruleSchema).default({}),
  defaultRank: z.int().min(0).max(9).default(DEFAULT_RANK),
  teams: z.record(id, teamSchema).default({}),
  operators: z.record(id, operatorSchema).default({}),
})

/** Configuration of the fleet, which operators change by patches. */
export type Configuration = z.infer<typeof configurationSchema>
/** Limits and caller keys of one customer. */
export type CustomerConfiguration = z.infer<typeof customerSchema>
/** Settings of one service. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>
/** Address, capacity and desired state of one target. */
export type TargetConfiguration = z.infer<typeof targetSchema>
/** Rule that assigns a rank to matching requests. */
export type RuleConfiguration = z.infer<typeof ruleSchema>
/** Caller key, stored as a salted hash. */
export type CallerKeyConfiguration = z.infer<typeof saltedHashSchema>
