import { z } from 'zod'
import { configurationSchema } from './configurationSchema.js'

/** Schemas of a configuration field that maps ids to entries. */
export interface CollectionField {
  readonly key: z.ZodType
  readonly entry: z.ZodType
}

const collections = new Map<string, CollectionField>()
const values = new Map<string, z.ZodType>()

for (const [name, field] of Object.entries(configurationSchema.shape)) {
  const inner: unknown = field instanceof z.ZodDefault ? field.unwrap() : field
  if (inner instanceof z.ZodRecord)
    collections.set(name, {
      key: inner.keyType as z.ZodType,
      entry: inner.valueType as z.ZodType,
    })
  else values.set(name, field)
}

/** Configuration fields that map ids to entries, by field name. */
export const collectionFields: ReadonlyMap<string, CollectionField> =
  collections
/** Schemas of all other configuration fields, by field name. */
export const valueFields: ReadonlyMap<string, z.ZodType> = values
/** Whether the schema has checks across fields, which need the whole document. */
export const hasCrossFieldChecks =
  (configurationSchema.def.checks ?? []).length > 0
