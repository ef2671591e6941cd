import { isDeepStrictEqual } from 'node:util'
import type { Configuration } from '../configuration/configurationSchema.js'

/** The parts of the configuration that hold entries by id. */
export enum Section {
  Customers = 'customers',
  Services = 'services',
  Targets = 'targets',
  Rules = 'rules',
  Teams = 'teams',
  Operators = 'operators',
}

/** An entry that differs between two configurations. */
export interface ChangedEntry {
  readonly section: Section
  readonly id: string
}

/**
 * Returns the entries that differ. Compares the documents rather than the
 * patch, so that a move or the replacement of a whole part hides nothing.
 */
export function findChangedEntries(
  before: Configuration,
  after: Configuration,
): ChangedEntry[] {
  const touched: ChangedEntry[] = []
  for (const section of Object.values(Section)) {
    const was = before[section] as Record<string, unknown>
    const is = after[section] as Record<string, unknown>
    for (const id of new Set([...Object.keys(was), ...Object.keys(is)])) {
      if (isDeepStrictEqual(was[id], is[id])) continue
      touched.push({ section, id })
    }
  }
  return touched
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
