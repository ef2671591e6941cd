import type { Target } from './target.js'

/** Asks targets which prompt parts they cache. */
export interface CacheInventory {
  /** Returns the ids of the cached parts, or undefined without a valid response. */
  list(target: Target): Promise<readonly string[] | undefined>
}
