import { err, ok, type Result } from 'neverthrow'
import { patchInPlace } from '../configuration/patchInPlace.js'
import type { JsonOperation } from '../configuration/jsonOperation.js'

/**
 * Applies JSON Patch operations to a copy of a document. Never throws, as one
 * bad record on the log would otherwise stop every router that reads it.
 */
export function applyOperations(
  document: unknown,
  operations: readonly JsonOperation[],
): Result<unknown, string> {
  const draft: unknown = structuredClone(document)
  const fault = patchInPlace(draft, operations)
  return fault === undefined ? ok(draft) : err(fault)
}
