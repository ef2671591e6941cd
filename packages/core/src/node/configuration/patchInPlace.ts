import { applyPatch, type Operation } from 'rfc6902'
import { isPlainJson } from './isPlainJson.js'
import { parsePointer } from './jsonPointer.js'
import type { JsonOperation } from './jsonOperation.js'

function getOwn(parent: unknown, token: string): unknown {
  if (typeof parent !== 'object' || parent === null) return undefined
  return Object.hasOwn(parent, token)
    ? (parent as Record<string, unknown>)[token]
    : undefined
}

// rfc6902 follows inherited properties too, so paths are checked against own
// properties first; a patch must never reach a prototype.
function pathExists(
  draft: unknown,
  path: string,
  requireLast: boolean,
): boolean {
  const tokens = parsePointer(path)
  if (!tokens) return false
  const last = tokens.pop()
  let parent = draft
  for (const token of tokens) parent = getOwn(parent, token)
  if (typeof parent !== 'object' || parent === null) return false
  if (last === undefined || !requireLast) return true
  return getOwn(parent, last) !== undefined
}

function validateOperation(draft: unknown, operation: JsonOperation) {
  const { op, path, from, value } = operation
  const adds = op === 'add' || op === 'move' || op === 'copy'
  if (!pathExists(draft, path, !adds)) return `${path}: nothing to ${op} here`
  const copies = op === 'move' || op === 'copy'
  if (copies && (typeof from !== 'string' || !pathExists(draft, from, true)))
    return `${String(from)}: nothing to ${op} from here`
  if (!isPlainJson(value)) return `${path}: the value is not plain JSON`
  return undefined
}

// Never throws: an exception would stop every router at the same offset.
function applyOperation(draft: unknown, operation: Operation): Error | null {
  try {
    return applyPatch(draft, [operation])[0] ?? null
  } catch (error) {
    return error as Error
  }
}

/**
 * Applies operations to `draft` in place. Returns why the first failing
 * operation failed, or undefined on success.
 */
export function patchInPlace(
  draft: unknown,
  operations: readonly JsonOperation[],
): string | undefined {
  for (const operation of operations) {
    const invalid = validateOperation(draft, operation)
    if (invalid !== undefined) return invalid
    const error = applyOperation(draft, operation as unknown as Operation)
    if (error) return `${operation.path}: ${error.message}`
  }
  return undefined
}
