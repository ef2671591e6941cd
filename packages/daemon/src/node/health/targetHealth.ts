import type { CircuitState } from '@auburnbay/core'

/** Watches one request that was sent to a target. */
export interface SentRequest {
  /** Whether the request probes a target that was ejected. */
  readonly isProbe: boolean
  succeeded(): void
  failed(): void
  /** The target refused the request before running it. */
  refused(): void
  /** The request ended without evidence, as when the caller went away. */
  abandoned(): void
}

/** Knows which targets work, from the requests that went there. */
export interface TargetHealth {
  /** Whether a request may go to a target now. */
  isEligible(targetId: string, idempotent: boolean): boolean
  /** Starts watching a request to a target. */
  sent(targetId: string): SentRequest
  circuit(targetId: string): CircuitState
}
