import { isDeepStrictEqual } from 'node:util'
import type { Configuration } from '../configuration/configurationSchema.js'

/** Sections of the configuration that map ids to entries. */
export enum Section {
  Customers = 'customers',
  Services = 'services',
  Targets = 'targets',
  Rules = 'rules',
  Teams = 'teams',
  Operators = 'operators',
}

/** Entry that differs between two configurations. */
export interface ChangedEntry {
  readonly section: Section
  readonly id: string
}

/**
 * Returns the entries that differ. Compares the documents instead of reading
 * the patch, so that a move or the replacement of a section hides no change.
 */
export function findChangedEntries(
  before: Configuration,
  after: Configuration,
): ChangedEntry[] {
  const changed: ChangedEntry[] = []
  for (const section of Object.values(Section)) {
    const old = before[section] as Record<string, unknown>
    const current = after[section] as Record<string, unknown>
    for (const id of new Set([...Object.keys(old), ...Object.keys(current)])) {
      if (isDeepStrictEqual(old[id], current[id])) continue
      changed.push({ section, id })
    }
  }
  return changed
}

/** Returns the names of top-level fields outside the sections that differ. */
export function findChangedFields(
  before: Configuration,
  after: Configuration,
): string[] {
  const sections = new Set<string>(Object.values(Section))
  const names = Object.keys(after) as (keyof Configuration)[]
  return names.filter(
    (name) =>
      !sections.has(name) && !isDeepStrictEqual(before[name], after[name]),
  )
}
