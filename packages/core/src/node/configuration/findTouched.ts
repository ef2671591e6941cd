import {
  collectionFields,
  hasWholeChecks,
  valueFields,
} from './configurationFields.js'
import { parsePointer } from './jsonPointer.js'
import type { JsonOperation } from './jsonOperation.js'

/** The parts of a configuration that a patch reads or writes. */
export interface TouchedParts {
  /** Ids of entries, by collection. */
  readonly entries: ReadonlyMap<string, ReadonlySet<string>>
  /** Names of the fields that are no collections. */
  readonly fields: ReadonlySet<string>
}

/** Finds what operations touch; undefined when only the whole will do. */
export function findTouched(
  operations: readonly JsonOperation[],
): TouchedParts | undefined {
  if (hasWholeChecks) return undefined
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
