import { z } from 'zod'

/** Stream of the log service that carries claims. */
export const CLAIMS_STREAM = 'claims'

/** Kinds of records on the claims stream. */
export enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
  Outcome = 'outcome',
}

const base = { claimId: z.string().min(1), key: z.string().min(1) }

/** Checks a record of the claims stream. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...base,
    kind: z.literal(ClaimRecordKind.Claim),
    /** Digest of the request, so that a key is not used for another one. */
    digest: z.string().min(1),
  }),
  /** The claim's holder will never dispatch the request. */
  z.object({ ...base, kind: z.literal(ClaimRecordKind.Release) }),
  z.object({
    ...base,
    kind: z.literal(ClaimRecordKind.Outcome),
    /** HTTP status of the answer; absent where the outcome is unknown. */
    status: z.int().optional(),
  }),
])

/** One record of the claims stream. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>
