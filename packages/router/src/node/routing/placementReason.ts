/** Why a request was placed on its target. */
export enum PlacementReason {
  /** The request has no prompt that targets cache. */
  NoPrompt = 'no-prompt',
  /** The target caches the prompt. */
  Cached = 'cached',
  /** No target is known to cache the prompt. */
  NewPrompt = 'new-prompt',
  /** Every cache target has left the target list or is draining. */
  CacheLost = 'cache-lost',
  /** Every listed cache target was tried, is failing, stalled or avoided. */
  CacheExcluded = 'cache-excluded',
  /** Every usable cache target exceeds the load bound. */
  CacheOverBound = 'cache-over-bound',
}
