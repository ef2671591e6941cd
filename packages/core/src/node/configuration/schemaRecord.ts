import { z } from 'zod'

/**
 * Schema of a record that raises the schema version of the log. Later patches
 * with a lower schema version are invalid on every router.
 */
export const schemaRecordSchema = z.strictObject({
  type: z.literal('schema'),
  schema: z.int().min(1),
})

const versionedSchema = z.looseObject({
  type: z.string(),
  schema: z.int().min(1),
})

/** Returns the schema version that a record requires, or undefined if none. */
export function requiredSchema(value: unknown): number | undefined {
  const parsed = versionedSchema.safeParse(value)
  return parsed.success ? parsed.data.schema : undefined
}
