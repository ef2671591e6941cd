import { err, ok, type Result } from 'neverthrow'
import { applyOperations } from './applyOperations.js'
import { collectionFields, valueFields } from './configurationFields.js'
import type { Configuration } from './configurationSchema.js'
import { findTouched, type TouchedParts } from './findTouched.js'
import type { PatchOperation } from './patchRecord.js'
import { describeIssues, patchWhole } from './patchWhole.js'

/** Applies patches one after another to a configuration. */
export interface Patcher {
  readonly configuration: Configuration
  /** Applies operations, or returns why they are invalid and changes nothing. */
  patch(operations: readonly PatchOperation[]): Result<undefined, string>
}

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

/** Creates a patcher that copies and validates only what a patch touches. */
export function createPatcher(start: Configuration): Patcher {
  let document: Document = start
  const copied = new Set<string>()

  // A collection is copied once for all patches of this patcher.
  function ownEntries(collection: string): Entries {
    if (!copied.has(collection)) {
      const copy = { ...entriesOf(document, collection) }
      document = { ...document, [collection]: copy }
      copied.add(collection)
    }
    return entriesOf(document, collection)
  }

  function commit(draft: Document, touched: TouchedParts): void {
    for (const name of touched.fields) {
      const rest = { ...document }
      Reflect.deleteProperty(rest, name)
      document = Object.hasOwn(draft, name)
        ? { ...rest, [name]: draft[name] }
        : rest
    }
    for (const [collection, ids] of touched.entries) {
      const entries = ownEntries(collection)
      const changed = entriesOf(draft, collection)
      for (const id of ids)
        if (Object.hasOwn(changed, id)) entries[id] = changed[id]
        else Reflect.deleteProperty(entries, id)
    }
  }

  function replaceWhole(
    operations: readonly PatchOperation[],
  ): Result<undefined, string> {
    const whole = patchWhole(document as Configuration, operations)
    if (whole.isErr()) return err(whole.error)
    document = whole.value
    for (const collection of collectionFields.keys()) copied.add(collection)
    return ok(undefined)
  }

  return {
    get configuration() {
      return document as Configuration
    },
    patch(operations) {
      const touched = findTouched(operations)
      if (!touched) return replaceWhole(operations)
      const draft = copyTouched(document, touched)
      const fault =
        applyOperations(draft, operations) ?? checkTouched(draft, touched)
      if (fault !== undefined) return err(fault)
      commit(draft, touched)
      return ok(undefined)
    },
  }
}
