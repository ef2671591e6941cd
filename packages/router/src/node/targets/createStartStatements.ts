import { LRUCache } from 'lru-cache'
import type { Target } from './target.js'

/** Start of a target, by which a later one is told from it. */
export type TargetStart = Pick<Target, 'id' | 'startedAtMs'>

/** What starts of targets have said. */
export interface StartStatements<T> {
  /** Returns what a target said since its last known start; undefined if it said nothing. */
  find(target: TargetStart): T | undefined
  set(target: TargetStart, statement: T): void
}

interface KnownStatement<T> {
  /** Start of the target, in milliseconds since the epoch; negative infinity if unknown. */
  readonly startedAtMs: number
  readonly statement: T
}

/**
 * Creates an empty set of statements. Only a later start of its target ends a
 * statement: an entry with an earlier start, or without one, may be outdated.
 * @param max Targets whose statements are remembered.
 */
export function createStartStatements<T>(max: number): StartStatements<T> {
  const statements = new LRUCache<string, KnownStatement<T>>({ max })

  function findKnown({
    id,
    startedAtMs = -Infinity,
  }: TargetStart): KnownStatement<T> | undefined {
    const known = statements.get(id)
    return known && startedAtMs <= known.startedAtMs ? known : undefined
  }

  return {
    find: (target) => findKnown(target)?.statement,
    set(target, statement) {
      const { id, startedAtMs = -Infinity } = target
      statements.set(id, {
        startedAtMs: findKnown(target)?.startedAtMs ?? startedAtMs,
        statement,
      })
    },
  }
}
