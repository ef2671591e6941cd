import { z } from 'zod'

/**
 * Checks a record that raises the log's schema version.
 *
 * Patches of a lower schema that follow it are invalid on every router.
 */
export const schemaRecordSchema = z.strictObject({
  type: z.literal('schema'),
  schema: z.int().min(1),
})

const versionedSchema = z.looseObject({
  type: z.string(),
  schema: z.int().min(1),
})

/** Returns the schema version that a record needs, or undefined for none. */
export function schemaOf(value: unknown): number | undefined {
  const parsed = versionedSchema.safeParse(value)
  return parsed.success ? parsed.data.schema : undefined
}
