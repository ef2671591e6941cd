const MAX_DEPTH = 32

/** Returns whether a value has at most 32 levels and no `__proto__` key. */
export function isPlainJson(value: unknown, depth = 0): boolean {
  if (typeof value !== 'object' || value === null) return true
  if (depth >= MAX_DEPTH) return false
  for (const [key, child] of Object.entries(value)) {
    if (key === '__proto__') return false
    if (!isPlainJson(child, depth + 1)) return false
  }
  return true
}
