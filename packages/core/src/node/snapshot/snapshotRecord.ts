import { z } from 'zod'
import { PatchOutcomeKind } from '../configuration/patchOutcome.js'

const outcomeSchema = z.strictObject({
  kind: z.enum(PatchOutcomeKind),
  patchId: z.string(),
  offset: z.int(),
  version: z.int(),
  reason: z.string().optional(),
})

/** Schema of a configuration snapshot, from the log or from a peer. */
export const snapshotRecordSchema = z.strictObject({
  type: z.literal('snapshot'),
  /** Schema version that a reader must support. */
  schema: z.int().min(1),
  version: z.int().min(0),
  /** Hash chain over all applied patches. */
  digest: z.string(),
  logId: z.string(),
  /** Offset of the configuration stream to continue from. */
  nextOffset: z.int().min(0),
  lastRecord: z.strictObject({ offset: z.int(), hash: z.string() }).optional(),
  outcomes: z.array(outcomeSchema),
  configuration: z.unknown(),
  /** Operator who moved the configuration to a log that had lost it. */
  movedBy: z.string().min(1).max(128).optional(),
  /** Checksum over the other fields. */
  checksum: z.string(),
})

/** Complete configuration with its position in the log. */
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>
