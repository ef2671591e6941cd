import { z } from 'zod'

/** Schema of a record that requests or renews a lease. */
export const leaseRecordSchema = z.strictObject({
  type: z.literal('lease'),
  /** Name of the leased resource. */
  name: z.string().min(1).max(128),
  /** Router id and incarnation. */
  holder: z.string().min(1).max(128),
  ttlMs: z.int().positive(),
  /** Identifies the record, so that its sender finds its own. */
  requestId: z.string().min(1).max(64),
})

/** Record on the leases stream. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>
