const MAX_DEPTH = 32

/** Returns whether a value nests at most 32 levels and names no prototype. */
export function isPlainJson(value: unknown, depth = 0): boolean {
  if (typeof value !== 'object' || value === null) return true
  if (depth >= MAX_DEPTH) return false
  for (const [key, child] of Object.entries(value)) {
    if (key === '__proto__') return false
    if (!isPlainJson(child, depth + 1)) return false
  }
  return true
}
