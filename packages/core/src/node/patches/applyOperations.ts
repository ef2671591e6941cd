import { err, ok, type Result } from 'neverthrow'
import { applyPatch, type Operation } from 'rfc6902'
import { type PathOperation, patchPaths, splitPointer } from './patchPaths.js'

const RESERVED_NAMES = new Set(['__proto__', 'constructor', 'prototype'])

/**
 * Applies JSON Patch operations to a copy of a document. Never throws, as one
 * bad record on the log would otherwise stop every router that reads it.
 */
export function applyOperations(
  document: unknown,
  operations: readonly PathOperation[],
): Result<unknown, string> {
  for (const path of patchPaths(operations)) {
    if (path !== '' && !path.startsWith('/'))
      return err(`${path}: a path starts with /`)
    const reserved = splitPointer(path).find((name) => RESERVED_NAMES.has(name))
    if (reserved !== undefined)
      return err(`${path}: the name ${reserved} is reserved`)
  }
  const draft: unknown = structuredClone(document)
  try {
    const copies = structuredClone(operations) as unknown as Operation[]
    const failed = applyPatch(draft, copies).find((error) => error !== null)
    return failed ? err(failed.message) : ok(draft)
  } catch (error) {
    return err((error as Error).message)
  }
}
