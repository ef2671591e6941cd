/** Stands in place of a hash or salt. */
export const REDACTED = '(redacted)'

const SECRET_FIELDS = new Set(['salt', 'hash'])

/** Copies a value with every salt and hash replaced. */
export function redactHashes(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(redactHashes)
  if (typeof value !== 'object' || value === null) return value
  const copy: Record<string, unknown> = {}
  for (const [name, field] of Object.entries(value))
    copy[name] = SECRET_FIELDS.has(name) ? REDACTED : redactHashes(field)
  return copy
}

/** Copies patch operations without salts and hashes, also where a path names one. */
export function redactOperations(
  operations: readonly PatchOperation[],
): unknown[] {
  return operations.map((operation) => {
    const last = operation.path.split('/').at(-1) ?? ''
    if (SECRET_FIELDS.has(last) && 'value' in operation)
      return { ...operation, value: REDACTED }
    return redactHashes(operation)
  })
}

/** The parts of a patch operation that matter here. */
export interface PatchOperation {
  readonly path: string
}
