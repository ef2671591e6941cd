import { applyPatch, type Operation } from 'rfc6902'
import { isPlainJson } from './isPlainJson.js'
import { parsePointer } from './jsonPointer.js'
import type { JsonOperation } from './jsonOperation.js'

function own(parent: unknown, token: string): unknown {
  if (typeof parent !== 'object' || parent === null) return undefined
  return Object.hasOwn(parent, token)
    ? (parent as Record<string, unknown>)[token]
    : undefined
}

// rfc6902 also follows inherited properties, which a patch must never reach.
function reaches(draft: unknown, path: string, lastExists: boolean): boolean {
  const tokens = parsePointer(path)
  if (!tokens) return false
  const last = tokens.pop()
  let parent = draft
  for (const token of tokens) parent = own(parent, token)
  if (typeof parent !== 'object' || parent === null) return false
  if (last === undefined || !lastExists) return true
  return own(parent, last) !== undefined
}

function findFault(draft: unknown, operation: JsonOperation) {
  const { op, path, from, value } = operation
  const adds = op === 'add' || op === 'move' || op === 'copy'
  if (!reaches(draft, path, !adds)) return `${path}: nothing to ${op} here`
  const copies = op === 'move' || op === 'copy'
  if (copies && (typeof from !== 'string' || !reaches(draft, from, true)))
    return `${String(from)}: nothing to ${op} from here`
  if (!isPlainJson(value)) return `${path}: the value is not plain JSON`
  return undefined
}

// A record that throws would stop every router at its offset.
function applyOne(draft: unknown, operation: Operation): Error | null {
  try {
    return applyPatch(draft, [operation])[0] ?? null
  } catch (error) {
    return error as Error
  }
}

/** Applies operations to `draft` in place; returns why the first one fails. */
export function patchInPlace(
  draft: unknown,
  operations: readonly JsonOperation[],
): string | undefined {
  for (const operation of operations) {
    const fault = findFault(draft, operation)
    if (fault !== undefined) return fault
    const error = applyOne(draft, operation as unknown as Operation)
    if (error) return `${operation.path}: ${error.message}`
  }
  return undefined
}
