import { z } from 'zod'
import { PatchOutcomeKind } from '../configuration/patchOutcome.js'

const outcomeSchema = z.strictObject({
  kind: z.enum(PatchOutcomeKind),
  patchId: z.string(),
  offset: z.int(),
  version: z.int(),
  reason: z.string().optional(),
})

/** Checks a snapshot of the configuration, from the log or from a peer. */
export const snapshotRecordSchema = z.strictObject({
  type: z.literal('snapshot'),
  /** Schema version that a reader must know. */
  schema: z.int().min(1),
  version: z.int().min(0),
  /** Hash over all patches that led to the version. */
  digest: z.string(),
  logId: z.string(),
  /** Offset of the configuration stream that is read next. */
  nextOffset: z.int().min(0),
  lastRecord: z.strictObject({ offset: z.int(), hash: z.string() }).optional(),
  outcomes: z.array(outcomeSchema),
  configuration: z.unknown(),
  /** The operator who moved the configuration to a log that lost it. */
  movedBy: z.string().min(1).max(128).optional(),
  /** Hash over the other fields. */
  checksum: z.string(),
})

/** A whole configuration with its place in the log. */
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>
