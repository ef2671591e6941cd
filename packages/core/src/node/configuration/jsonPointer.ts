const MAX_TOKENS = 32
const UNSAFE_TOKENS: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
])

/**
 * Splits a JSON Pointer (RFC 6901) into tokens. Returns undefined if it is
 * malformed, has more than 32 tokens or could reach an object's prototype.
 */
export function parsePointer(path: string): string[] | undefined {
  if (path === '') return []
  if (!path.startsWith('/')) return undefined
  const tokens = path
    .slice(1)
    .split('/')
    .map((token) => token.replaceAll('~1', '/').replaceAll('~0', '~'))
  if (tokens.length > MAX_TOKENS) return undefined
  return tokens.some((token) => UNSAFE_TOKENS.has(token)) ? undefined : tokens
}
