import { z } from 'zod'
import { configurationSchema } from './configurationSchema.js'

/** A field of the configuration that holds entries by id. */
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

/** The configuration's collections, by field name. */
export const collectionFields: ReadonlyMap<string, CollectionField> =
  collections
/** The configuration's other fields, by name. */
export const valueFields: ReadonlyMap<string, z.ZodType> = values
/** Whether the schema holds rules that span fields, which need a whole check. */
export const hasWholeChecks = (configurationSchema.def.checks ?? []).length > 0
