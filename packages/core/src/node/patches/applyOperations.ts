import { err, ok, type Result } from 'neverthrow'
import { patchInPlace } from '../configuration/patchInPlace.js'
import type { JsonOperation } from '../configuration/jsonOperation.js'

/**
 * Applies JSON Patch operations to a copy of a document. Never throws, because
 * a bad record in the log would otherwise stop every router that reads it.
 */
export function applyOperations(
  document: unknown,
  operations: readonly JsonOperation[],
): Result<unknown, string> {
  const draft: unknown = structuredClone(document)
  const failure = patchInPlace(draft, operations)
  return failure === undefined ? ok(draft) : err(failure)
}
