import { type PathOperation, patchPaths, pathsOverlap } from './patchPaths.js'

/** Whether a conflicting patch can be resubmitted unchanged on a newer version. */
export interface RebaseCheck {
  readonly possible: boolean
  /** Paths of the patch that overlap changes of the newer version. */
  readonly clashes: readonly string[]
}

/**
 * Checks whether a patch can be applied unchanged after concurrent changes.
 * Without overlapping paths both orders give the same document, because the
 * configuration contains no arrays.
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
