import { z } from 'zod'
import { saltedHashSchema } from '../security/saltedHash.js'
import { Role } from './role.js'

const limit = z.int().min(0).optional()

/** Schema of the quotas of a team; an absent quota is no limit. */
export const quotasSchema = z.strictObject({
  maxCustomers: limit,
  maxServices: limit,
  maxTargets: limit,
  /** Limit for the sum of `maxInFlight` over the team's customers. */
  maxInFlight: limit,
})

/** Schema of a team. */
export const teamSchema = z.strictObject({
  quotas: quotasSchema.prefault({}),
})

/** Schema of an operator. */
export const operatorSchema = z.strictObject({
  team: z.string(),
  role: z.enum(Role),
  token: saltedHashSchema,
})

/** Quotas of one team. */
export type TeamConfiguration = z.infer<typeof teamSchema>
/** Team, role and token of one operator. */
export type OperatorConfiguration = z.infer<typeof operatorSchema>
