import { z } from 'zod'

/** Checks a record that asks for a lease, or renews one. */
export const leaseRecordSchema = z.strictObject({
  type: z.literal('lease'),
  /** What the lease is for. */
  name: z.string().min(1).max(128),
  /** Router and incarnation. */
  holder: z.string().min(1).max(128),
  ttlMs: z.int().positive(),
  /** Tells the holder's own record from the others. */
  requestId: z.string().min(1).max(64),
})

/** A record of the stream of leases. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>
