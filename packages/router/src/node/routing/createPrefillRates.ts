/** How fast the targets of each service prefill prompts, from this router's requests. */
export interface PrefillRates {
  /** Records the time from a send to the response of a target that prefilled `tokens`. */
  record(service: string, tokens: number, ms: number): void
  /** Returns the expected milliseconds to prefill `tokens`; 0 before any record. */
  expectedMs(service: string, tokens: number): number
}

/** Shorter prefills are dominated by the time to the first token. */
const MIN_TOKENS = 1_000
/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1

/** Creates rates without records. */
export function createPrefillRates(): PrefillRates {
  const msPerToken = new Map<string, number>()
  return {
    record(service, tokens, ms) {
      if (tokens < MIN_TOKENS) return
      const sample = ms / tokens
      const mean = msPerToken.get(service) ?? sample
      msPerToken.set(service, mean + SAMPLE_WEIGHT * (sample - mean))
    },
    expectedMs: (service, tokens) => tokens * (msPerToken.get(service) ?? 0),
  }
}
