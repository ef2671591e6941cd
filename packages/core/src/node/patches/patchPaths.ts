/** Paths of a patch operation. */
export interface PathOperation {
  readonly path: string
  /** Source path of a move or copy. */
  readonly from?: unknown
}

/** Splits a JSON Pointer (RFC 6901) into its unescaped tokens. */
export function splitPointer(pointer: string): string[] {
  const tokens = pointer.split('/').slice(1)
  return tokens.map((token) =>
    token.replaceAll('~1', '/').replaceAll('~0', '~'),
  )
}

/** Returns every path that the operations read or write. */
export function patchPaths(operations: readonly PathOperation[]): string[] {
  const paths = new Set<string>()
  for (const { path, from } of operations) {
    paths.add(path)
    if (typeof from === 'string') paths.add(from)
  }
  return [...paths]
}

function isPrefix(prefix: readonly string[], path: readonly string[]): boolean {
  return prefix.every((token, index) => path[index] === token)
}

/** Returns whether the paths are equal or one is an ancestor of the other. */
export function pathsOverlap(one: string, other: string): boolean {
  const left = splitPointer(one)
  const right = splitPointer(other)
  return isPrefix(left, right) || isPrefix(right, left)
}

/** Joins tokens to a JSON Pointer (RFC 6901). */
export function joinPointer(...tokens: string[]): string {
  const escape = (token: string): string =>
    `/${token.replaceAll('~', '~0').replaceAll('/', '~1')}`
  return tokens.map(escape).join('')
}
