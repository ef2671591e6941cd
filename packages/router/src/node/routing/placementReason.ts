/** Why a request was placed on its target. */
export enum PlacementReason {
  /** The request has no prompt that targets cache. */
  NoPrompt = 'no-prompt',
  /** The target caches the prompt. */
  Holder = 'holder',
  /** No target is known to cache the prompt. */
  NewPrompt = 'new-prompt',
  /** Every holder has left the target list or is draining. */
  HolderLost = 'holder-lost',
  /** Every listed holder was tried, is failing, stalled or avoided. */
  HolderExcluded = 'holder-excluded',
  /** Every usable holder exceeds the load bound. */
  HolderOverBound = 'holder-over-bound',
}
