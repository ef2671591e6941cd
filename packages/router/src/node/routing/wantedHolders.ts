/** Cost of copying a cached token to another target, relative to prefilling it. */
const COPY_COST = 1 / 7

/** Options for {@link wantedHolders}. */
export interface WantedHoldersOptions {
  /** Expected losses per target and millisecond. */
  readonly lossesPerMs: number
  /** Milliseconds since the prompt was first used. */
  readonly inUseMs: number
}

/**
 * Returns how many targets should cache a prompt. A second copy saves the
 * prefill that follows the loss of the only holder. A prompt is expected to be
 * used for as long as it has been in use.
 */
export function wantedHolders(options: WantedHoldersOptions): number {
  const { lossesPerMs, inUseMs } = options
  return lossesPerMs * inUseMs > COPY_COST ? 2 : 1
}
