import { LRUCache } from 'lru-cache'
import type { Target } from './target.js'

/** Start of a target, by which a later one is told from it. */
export type TargetStart = Pick<Target, 'id' | 'startedAtMs'>

/** What starts of targets have said. */
export interface StartStatements<T> {
  /** Returns what a target said since its last known start; undefined if it said nothing. */
  find(target: TargetStart): T | undefined
  /** @param saidAtMs Time of day, in milliseconds since the epoch. */
  set(target: TargetStart, statement: T, saidAtMs: number): void
}

interface KnownStatement<T> {
  /** Listed start of the target, in milliseconds since the epoch; negative infinity if unknown. */
  readonly startedAtMs: number
  readonly saidAtMs: number
  readonly statement: T
}

/**
 * Creates an empty set of statements. Only a later start of its target ends a
 * statement, one after the target has said it: the list may be older than the
 * target that responds, and name its start only afterwards.
 * @param max Targets whose statements are remembered.
 */
export function createStartStatements<T>(max: number): StartStatements<T> {
  const statements = new LRUCache<string, KnownStatement<T>>({ max })

  function findKnown({
    id,
    startedAtMs = -Infinity,
  }: TargetStart): KnownStatement<T> | undefined {
    const known = statements.get(id)
    if (!known) return undefined
    const lastMs = Math.max(known.startedAtMs, known.saidAtMs)
    return startedAtMs > lastMs ? undefined : known
  }

  return {
    find: (target) => findKnown(target)?.statement,
    set(target, statement, saidAtMs) {
      const { id, startedAtMs = -Infinity } = target
      const knownMs = findKnown(target)?.startedAtMs ?? -Infinity
      statements.set(id, {
        startedAtMs: Math.max(knownMs, startedAtMs),
        saidAtMs,
        statement,
      })
    },
  }
}
