import type { Target } from './target.js'
import type { TargetStatement } from './targetStatement.js'

/** A target's response to a call for its cached prompt parts. */
export interface CacheListing {
  readonly statement: TargetStatement
  /** Ids of the cached parts; absent without a valid list. */
  readonly parts?: readonly string[]
}

/** Asks targets which prompt parts they cache. */
export interface CacheInventory {
  /** Returns what a target lists, or undefined without a response. */
  list(target: Target): Promise<CacheListing | undefined>
}
