import { z } from 'zod'
import { CONFIGURATION_SCHEMA } from '../constants.js'

const operationSchema = z.looseObject({
  op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
  path: z.string(),
  from: z.string().optional(),
  value: z.unknown().optional(),
})

/** Schema of a patch record on the configuration stream. */
export const patchRecordSchema = z.strictObject({
  type: z.literal('patch'),
  /** Schema version that the accepting router validated with. */
  schema: z.int().min(1).max(CONFIGURATION_SCHEMA),
  patchId: z.string().min(1).max(64),
  baseVersion: z.int().min(0),
  author: z.string().min(1).max(128),
  /** Operator whose token was used; absent for the bootstrap owner. */
  operator: z.string().optional(),
  /** JSON Patch (RFC 6902) operations. */
  operations: z.array(operationSchema).min(1),
})

/** Patch that applies to one version of the configuration. */
export type PatchRecord = z.infer<typeof patchRecordSchema>
