import { DeadlinePassed } from './deadlinePassed.js'
import type { RoutedRequest } from './routedRequest.js'

/** A request that is aborted when its deadline passes. */
export interface LimitedRequest {
  readonly request: RoutedRequest
  /** Ends the watch on the deadline. */
  release(): void
}

/** Longest delay of a timer, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647

/** Joins a request's deadline with the signal that its caller went away. */
export function limitToDeadline(
  request: RoutedRequest,
  nowMs = Date.now(),
): LimitedRequest {
  const { deadlineAtMs } = request
  if (deadlineAtMs === undefined) return { request, release: () => undefined }
  const passed = new AbortController()
  const leftMs = Math.max(0, deadlineAtMs - nowMs)
  const abort = (): void => {
    passed.abort(new DeadlinePassed())
  }
  if (leftMs === 0) abort()
  const timer = setTimeout(abort, Math.min(leftMs, MAX_TIMER_MS))
  const signal = AbortSignal.any([request.signal, passed.signal])
  return {
    request: { ...request, signal },
    release: () => {
      clearTimeout(timer)
    },
  }
}
