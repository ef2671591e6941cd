import { z } from 'zod'

/** Checks the request of a router that is behind. */
export const configurationTransferRequestSchema = z.strictObject({
  /** The log that the router follows. */
  logId: z.string().optional(),
  /** Offset of the first record wanted. */
  from: z.int().min(0),
})

/** What a router that is behind asks a peer for. */
export type ConfigurationTransferRequest = z.infer<
  typeof configurationTransferRequestSchema
>

/** Checks the answer to a router that is behind. */
export const configurationTransferSchema = z.strictObject({
  logId: z.string(),
  nextOffset: z.int().min(0),
  /** Absent when the peer no longer keeps all records wanted. */
  records: z
    .array(z.strictObject({ offset: z.int(), value: z.unknown() }))
    .optional(),
  /** Stands in for records that the peer no longer keeps. */
  snapshot: z.unknown().optional(),
})

/** Records or a snapshot for a router that is behind. */
export type ConfigurationTransfer = z.infer<typeof configurationTransferSchema>
