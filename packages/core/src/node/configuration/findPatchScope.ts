import {
  collectionFields,
  hasCrossFieldChecks,
  valueFields,
} from './configurationFields.js'
import { parsePointer } from './jsonPointer.js'
import type { JsonOperation } from './jsonOperation.js'

/** Parts of the configuration that a patch reads or writes. */
export interface PatchScope {
  /** Ids of entries, by collection name. */
  readonly entries: ReadonlyMap<string, ReadonlySet<string>>
  /** Names of fields other than collections. */
  readonly fields: ReadonlySet<string>
}

/** Returns the scope of a patch, or undefined if it needs the whole document. */
export function findPatchScope(
  operations: readonly JsonOperation[],
): PatchScope | undefined {
  if (hasCrossFieldChecks) return undefined
  const entries = new Map<string, Set<string>>()
  const fields = new Set<string>()
  const paths = operations.flatMap(({ path, from }) =>
    typeof from === 'string' ? [path, from] : [path],
  )
  for (const path of paths) {
    const [field, id] = parsePointer(path) ?? []
    if (field === undefined) return undefined
    if (valueFields.has(field)) {
      fields.add(field)
      continue
    }
    if (!collectionFields.has(field) || id === undefined) return undefined
    const ids = entries.get(field) ?? new Set()
    entries.set(field, ids.add(id))
  }
  return { entries, fields }
}
