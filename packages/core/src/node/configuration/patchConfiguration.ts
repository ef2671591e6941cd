import { err, ok, type Result } from 'neverthrow'
import { collectionFields, valueFields } from './configurationFields.js'
import type { Configuration } from './configurationSchema.js'
import { patchInPlace } from './patchInPlace.js'
import { findPatchScope, type PatchScope } from './findPatchScope.js'
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

/** Copies the entries in scope and all value fields; omits other entries. */
function copyScope(document: Document, scope: PatchScope): Document {
  const draft: Document = {}
  for (const field of valueFields.keys())
    if (Object.hasOwn(document, field))
      draft[field] = structuredClone(document[field])
  for (const collection of collectionFields.keys()) {
    const source = entriesOf(document, collection)
    const copied: Entries = {}
    for (const id of scope.entries.get(collection) ?? [])
      if (Object.hasOwn(source, id)) copied[id] = structuredClone(source[id])
    draft[collection] = copied
  }
  return draft
}

/** Validates the parts in scope and fills in defaults, in place. */
function validateScope(draft: Document, scope: PatchScope): string | undefined {
  for (const name of scope.fields) {
    const parsed = valueFields.get(name)?.safeParse(draft[name])
    if (parsed?.error) return describeIssues(parsed.error.issues, [name])
    if (parsed?.data === undefined) Reflect.deleteProperty(draft, name)
    else draft[name] = parsed.data
  }
  for (const [collection, ids] of scope.entries) {
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

/** Returns the document with the parts in scope replaced by those of the draft. */
function mergeScope(
  document: Document,
  draft: Document,
  scope: PatchScope,
): Document {
  const merged = { ...document }
  for (const name of scope.fields)
    if (Object.hasOwn(draft, name)) merged[name] = draft[name]
    else Reflect.deleteProperty(merged, name)
  for (const [collection, ids] of scope.entries) {
    const entries = { ...entriesOf(document, collection) }
    const changed = entriesOf(draft, collection)
    for (const id of ids)
      if (Object.hasOwn(changed, id)) entries[id] = changed[id]
      else Reflect.deleteProperty(entries, id)
    merged[collection] = entries
  }
  return merged
}

/**
 * Applies a patch, copying and validating only the parts that it reads or
 * writes. Gives the same result as {@link patchFullConfiguration}.
 */
export function patchConfiguration(
  configuration: Configuration,
  operations: readonly JsonOperation[],
): Result<Configuration, string> {
  const scope = findPatchScope(operations)
  if (!scope) return patchFullConfiguration(configuration, operations)
  const draft = copyScope(configuration, scope)
  const failure = patchInPlace(draft, operations) ?? validateScope(draft, scope)
  if (failure !== undefined) return err(failure)
  return ok(mergeScope(configuration, draft, scope) as Configuration)
}
