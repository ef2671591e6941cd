/** Why a request was placed on its target. */
export enum PlacementReason {
  /** The request has no prompt that targets cache. */
  NoPrompt = 'no-prompt',
  /** The target caches the prompt. */
  Holder = 'holder',
  /** No target is known to cache the prompt. */
  NewPrompt = 'new-prompt',
  /** The prompt gets a further holder in case the only one is lost. */
  FurtherHolder = 'further-holder',
  /** Every holder has left the target list or is draining. */
  HolderLost = 'holder-lost',
  /** Every listed holder was tried, is failing, stalled or avoided. */
  HolderExcluded = 'holder-excluded',
  /** Every usable holder exceeds the load bound. */
  HolderOverBound = 'holder-over-bound',
}
