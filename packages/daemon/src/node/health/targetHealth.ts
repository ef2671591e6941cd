import type { CircuitState } from '@auburnbay/core'

/** Records the outcome of one request that was sent to a target. */
export interface TrackedRequest {
  /** Whether the request probes a target that was ejected. */
  readonly isProbe: boolean
  recordSuccess(): void
  recordFailure(): void
  /** Records that the target refused the request before running it. */
  recordRefusal(): void
  /** Records an end that says nothing about the target, as a disconnected caller. */
  recordUnknown(): void
}

/** Passive health checks of targets, based on the outcomes of requests. */
export interface TargetHealth {
  /** Whether a request may be sent to a target now. */
  isEligible(targetId: string, idempotent: boolean): boolean
  /** Records that a request is sent to a target and tracks its outcome. */
  trackRequest(targetId: string): TrackedRequest
  circuit(targetId: string): CircuitState
}
