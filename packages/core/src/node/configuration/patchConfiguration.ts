import { err, ok, type Result } from 'neverthrow'
import { collectionFields, valueFields } from './configurationFields.js'
import type { Configuration } from './configurationSchema.js'
import { patchInPlace } from './patchInPlace.js'
import { findTouched, type TouchedParts } from './findTouched.js'
import type { JsonOperation } from './jsonOperation.js'
import {
  describeIssues,
  patchFullConfiguration,
} from './patchFullConfiguration.js'

type Document = Record<string, unknown>
type Entries = Record<string, unknown>

function entriesOf(document: Document, collection: string): Entries {
  return document[collection] as Entries
}

/** Copies the touched parts alone; the other entries are left out. */
function copyTouched(document: Document, touched: TouchedParts): Document {
  const draft: Document = {}
  for (const field of valueFields.keys())
    if (Object.hasOwn(document, field))
      draft[field] = structuredClone(document[field])
  for (const collection of collectionFields.keys()) {
    const source = entriesOf(document, collection)
    const copied: Entries = {}
    for (const id of touched.entries.get(collection) ?? [])
      if (Object.hasOwn(source, id)) copied[id] = structuredClone(source[id])
    draft[collection] = copied
  }
  return draft
}

/** Validates the touched parts in place, filling in defaults. */
function checkTouched(
  draft: Document,
  touched: TouchedParts,
): string | undefined {
  for (const name of touched.fields) {
    const parsed = valueFields.get(name)?.safeParse(draft[name])
    if (parsed?.error) return describeIssues(parsed.error.issues, [name])
    if (parsed?.data === undefined) Reflect.deleteProperty(draft, name)
    else draft[name] = parsed.data
  }
  for (const [collection, ids] of touched.entries) {
    const entries = entriesOf(draft, collection)
    const field = collectionFields.get(collection)
    for (const id of ids) {
      if (!Object.hasOwn(entries, id)) continue
      const key = field?.key.safeParse(id)
      if (key?.error) return describeIssues(key.error.issues, [collection, id])
      const entry = field?.entry.safeParse(entries[id])
      if (entry?.error)
        return describeIssues(entry.error.issues, [collection, id])
      entries[id] = entry?.data
    }
  }
  return undefined
}

/** Returns the document with the touched parts of the draft. */
function merge(
  document: Document,
  draft: Document,
  touched: TouchedParts,
): Document {
  const merged = { ...document }
  for (const name of touched.fields)
    if (Object.hasOwn(draft, name)) merged[name] = draft[name]
    else Reflect.deleteProperty(merged, name)
  for (const [collection, ids] of touched.entries) {
    const entries = { ...entriesOf(document, collection) }
    const changed = entriesOf(draft, collection)
    for (const id of ids)
      if (Object.hasOwn(changed, id)) entries[id] = changed[id]
      else Reflect.deleteProperty(entries, id)
    merged[collection] = entries
  }
  return merged
}

/** Patches a configuration, copying and validating only what a patch touches. */
export function patchConfiguration(
  configuration: Configuration,
  operations: readonly JsonOperation[],
): Result<Configuration, string> {
  const touched = findTouched(operations)
  if (!touched) return patchFullConfiguration(configuration, operations)
  const draft = copyTouched(configuration, touched)
  const fault = patchInPlace(draft, operations) ?? checkTouched(draft, touched)
  if (fault !== undefined) return err(fault)
  return ok(merge(configuration, draft, touched) as Configuration)
}
