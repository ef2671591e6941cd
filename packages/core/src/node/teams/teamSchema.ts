import { z } from 'zod'
import { saltedHashSchema } from '../security/saltedHash.js'
import { Role } from './role.js'

const limit = z.int().min(0).optional()

/** Checks what a team may have at most; an absent quota is no limit. */
export const quotasSchema = z.strictObject({
  maxCustomers: limit,
  maxServices: limit,
  maxTargets: limit,
  /** Bounds the sum of `maxInFlight` over the team's customers. */
  maxInFlight: limit,
})

/** Checks a team. */
export const teamSchema = z.strictObject({
  quotas: quotasSchema.prefault({}),
})

/** Checks an operator. */
export const operatorSchema = z.strictObject({
  team: z.string(),
  role: z.enum(Role),
  token: saltedHashSchema,
})

/** One team of the configuration. */
export type TeamConfiguration = z.infer<typeof teamSchema>
/** One operator of the configuration. */
export type OperatorConfiguration = z.infer<typeof operatorSchema>
