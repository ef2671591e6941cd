import { type PathOperation, patchPaths, pathsOverlap } from './patchPaths.js'

/** Whether a patch that lost a race still means the same on the newer version. */
export interface RebaseCheck {
  readonly possible: boolean
  /** Paths of the patch that the newer version has changed as well. */
  readonly clashes: readonly string[]
}

/**
 * Decides whether a patch may be submitted unchanged on top of changes that
 * came first. Without overlapping paths both orders give the same document,
 * as the configuration holds no arrays.
 */
export function checkRebase(
  mine: readonly PathOperation[],
  theirs: readonly PathOperation[],
): RebaseCheck {
  const changed = patchPaths(theirs)
  const clashes = patchPaths(mine).filter((path) =>
    changed.some((other) => pathsOverlap(path, other)),
  )
  return { possible: clashes.length === 0, clashes }
}
