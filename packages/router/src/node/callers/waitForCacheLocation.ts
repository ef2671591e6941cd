import { setTimeout as sleep } from 'node:timers/promises'
import type { Call } from './call.js'

/** Interval of checks whether a location is known, in milliseconds. */
const CHECK_MS = 10
/** Largest part of the target latency that a request waits. */
const MAX_WAIT_FRACTION = 0.25

/** Options for {@link waitForCacheLocation}. */
export interface CacheLocationWaitOptions {
  /** Whether the prompt of a call needs no location or has a known one. */
  readonly isLocated: (call: Call) => boolean
  /** Returns the milliseconds until the locations of a starting router are complete; 0 once they are. */
  readonly recoveryMs: () => number
}

/**
 * Waits until a starting router has learnt where the prompt of a call is cached.
 * Answers the callers that return at once when the fleet has restarted: a
 * prefill at another target would take longer than the wait.
 */
export async function waitForCacheLocation(
  call: Call,
  { isLocated, recoveryMs }: CacheLocationWaitOptions,
): Promise<void> {
  let remainingMs = Math.min(
    recoveryMs(),
    MAX_WAIT_FRACTION * call.route.targetLatencyMs,
  )
  while (remainingMs > 0 && !isLocated(call) && !call.signal.aborted) {
    remainingMs -= CHECK_MS
    await sleep(CHECK_MS, undefined, { signal: call.signal }).catch(
      () => undefined,
    )
  }
}
