import { z } from 'zod'

const counts = z.array(z.int().min(0)).readonly()
const index = z.int().min(0)

const placeWantSchema = z.strictObject({
  key: z.string(),
  hint: index.optional(),
  exclude: z.array(index).readonly(),
})

/** Checks a request for places. */
export const grantAskSchema = z.strictObject({
  group: z.string(),
  membersHash: z.int(),
  router: z.string(),
  incarnation: z.string(),
  sequence: z.int(),
  epoch: z.int(),
  used: counts,
  credits: counts,
  finished: z.int().min(0),
  wants: z.array(placeWantSchema).readonly(),
})

/** Checks a new home's request for counts. */
export const collectAskSchema = z.strictObject({
  group: z.string(),
  membersHash: z.int(),
  home: z.string(),
  epoch: z.int(),
})
