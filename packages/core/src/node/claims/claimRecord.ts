import { z } from 'zod'

/** Log service stream for claims. */
export const CLAIMS_STREAM = 'claims'

/** Kind of a record on the claims stream. */
export enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
  Outcome = 'outcome',
}

const base = { claimId: z.string().min(1), key: z.string().min(1) }

/** Schema of a record on the claims stream. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...base,
    kind: z.literal(ClaimRecordKind.Claim),
    /** Digest of the request, to detect reuse of a key for another request. */
    digest: z.string().min(1),
  }),
  /** The holder of the claim will never dispatch the request. */
  z.object({ ...base, kind: z.literal(ClaimRecordKind.Release) }),
  z.object({
    ...base,
    kind: z.literal(ClaimRecordKind.Outcome),
    /** HTTP status of the response; absent if the outcome is unknown. */
    status: z.int().optional(),
  }),
])

/** One record of the claims stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>
