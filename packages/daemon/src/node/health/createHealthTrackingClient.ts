import { FailureCode, Verdict } from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetFailure } from '../targets/targetFailure.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import type { TargetHealth, TrackedRequest } from './targetHealth.js'

const FIRST_SERVER_ERROR = 500

function recordResponse(
  tracked: TrackedRequest,
  response: TargetResponse,
  request: RoutedRequest,
): void {
  if (response.status >= FIRST_SERVER_ERROR) {
    tracked.recordFailure()
    return
  }
  // A probe is decided by the status, without waiting for a long stream to end.
  if (tracked.isProbe) {
    tracked.recordSuccess()
    return
  }
  response.body.once('close', () => {
    if (response.body.complete) tracked.recordSuccess()
    else if (request.signal.aborted) tracked.recordUnknown()
    else tracked.recordFailure()
  })
}

function recordFailedAttempt(
  tracked: TrackedRequest,
  failure: TargetFailure,
): void {
  const { code, verdict, reusedConnection } = failure
  // A reused connection may be stale, so its failure does not count against the
  // target.
  if (reusedConnection) tracked.recordUnknown()
  else if (code === FailureCode.TargetFailed && verdict === Verdict.NotRun)
    tracked.recordRefusal()
  else tracked.recordFailure()
}

/** Wraps a target client and records request outcomes in `health`. */
export function createHealthTrackingClient(
  client: TargetClient,
  health: TargetHealth,
): TargetClient {
  return {
    ...client,
    async send(target, request, ...rest) {
      const tracked = health.trackRequest(target.id)
      const result = await client.send(target, request, ...rest)
      if (result.isOk()) recordResponse(tracked, result.value, request)
      else if (request.signal.aborted) tracked.recordUnknown()
      else recordFailedAttempt(tracked, result.error)
      return result
    },
  }
}
