import { DeadlinePassed } from './deadlinePassed.js'
import type { RoutedRequest } from './routedRequest.js'

/** A request whose signal is also aborted at its deadline. */
export interface LimitedRequest {
  readonly request: RoutedRequest
  /** Clears the timer of the deadline. */
  release(): void
}

/** Longest delay in milliseconds that `setTimeout` accepts. */
const MAX_TIMER_MS = 2_147_483_647

/** Combines a request's signal with a timeout at its deadline. */
export function limitToDeadline(
  request: RoutedRequest,
  nowMs = Date.now(),
): LimitedRequest {
  const { deadlineAtMs } = request
  if (deadlineAtMs === undefined) return { request, release: () => undefined }
  const timeout = new AbortController()
  const remainingMs = Math.max(0, deadlineAtMs - nowMs)
  const abort = (): void => {
    timeout.abort(new DeadlinePassed())
  }
  if (remainingMs === 0) abort()
  const timer = setTimeout(abort, Math.min(remainingMs, MAX_TIMER_MS))
  const signal = AbortSignal.any([request.signal, timeout.signal])
  return {
    request: { ...request, signal },
    release: () => {
      clearTimeout(timer)
    },
  }
}
