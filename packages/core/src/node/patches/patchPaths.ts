/** A patch operation as far as its paths go. */
export interface PathOperation {
  readonly path: string
  /** Source of a move or copy. */
  readonly from?: unknown
}

/** Splits a JSON Pointer (RFC 6901) into its names. */
export function splitPointer(pointer: string): string[] {
  const names = pointer.split('/').slice(1)
  return names.map((name) => name.replaceAll('~1', '/').replaceAll('~0', '~'))
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
  return prefix.every((name, index) => path[index] === name)
}

/** Returns whether one path lies within the other. */
export function pathsOverlap(one: string, other: string): boolean {
  const left = splitPointer(one)
  const right = splitPointer(other)
  return isPrefix(left, right) || isPrefix(right, left)
}

/** Joins names to a JSON Pointer (RFC 6901). */
export function joinPointer(...names: string[]): string {
  const escape = (name: string): string =>
    `/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`
  return names.map(escape).join('')
}
