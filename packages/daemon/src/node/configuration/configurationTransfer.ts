import { z } from 'zod'

/** Schema of a request for newer configuration state. */
export const configurationTransferRequestSchema = z.strictObject({
  /** Id of the log that the router follows. */
  logId: z.string().optional(),
  /** Offset of the first requested record. */
  from: z.int().min(0),
})

/** Request for newer configuration state from a peer. */
export type ConfigurationTransferRequest = z.infer<
  typeof configurationTransferRequestSchema
>

/** Schema of the response with newer configuration state. */
export const configurationTransferSchema = z.strictObject({
  logId: z.string(),
  nextOffset: z.int().min(0),
  /** Absent when the peer no longer holds all requested records. */
  records: z
    .array(z.strictObject({ offset: z.int(), value: z.unknown() }))
    .optional(),
  /** Sent instead of records that the peer no longer holds. */
  snapshot: z.unknown().optional(),
})

/** Records or a snapshot from which a router catches up. */
export type ConfigurationTransfer = z.infer<typeof configurationTransferSchema>
