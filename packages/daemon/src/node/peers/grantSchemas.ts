import { z } from 'zod'

const counts = z.array(z.int().min(0)).readonly()
const index = z.int().min(0)

const placementRequestSchema = z.strictObject({
  key: z.string(),
  hint: index.optional(),
  exclude: z.array(index).readonly(),
})

/** Validates a request for slots. */
export const grantRequestSchema = z.strictObject({
  group: z.string(),
  membersHash: z.int(),
  router: z.string(),
  incarnation: z.string(),
  sequence: z.int(),
  epoch: z.int(),
  used: counts,
  credits: counts,
  finished: z.int().min(0),
  wants: z.array(placementRequestSchema).readonly(),
})

/** Validates a new coordinator's request for in-flight counts. */
export const collectRequestSchema = z.strictObject({
  group: z.string(),
  membersHash: z.int(),
  home: z.string(),
  epoch: z.int(),
})
