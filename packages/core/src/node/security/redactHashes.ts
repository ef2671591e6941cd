/** Replaces a hash or salt in output. */
export const REDACTED = '(redacted)'

const SECRET_FIELDS = new Set(['salt', 'hash'])

/** Returns a deep copy with every salt and hash redacted. */
export function redactHashes(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(redactHashes)
  if (typeof value !== 'object' || value === null) return value
  const copy: Record<string, unknown> = {}
  for (const [name, field] of Object.entries(value))
    copy[name] = SECRET_FIELDS.has(name) ? REDACTED : redactHashes(field)
  return copy
}

/** Redacts salts and hashes in patch operations, also where the path names one. */
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

/** Patch operation to redact. */
export interface PatchOperation {
  readonly path: string
}
