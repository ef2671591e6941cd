import { FailureCode, Verdict } from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetFailure } from '../targets/targetFailure.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import type { SentRequest, TargetHealth } from './targetHealth.js'

const FIRST_SERVER_ERROR = 500

function watchReply(
  sent: SentRequest,
  reply: TargetResponse,
  request: RoutedRequest,
): void {
  if (reply.status >= FIRST_SERVER_ERROR) {
    sent.failed()
    return
  }
  // A probe need not wait for the end of a long stream.
  if (sent.isProbe) {
    sent.succeeded()
    return
  }
  reply.body.once('close', () => {
    if (reply.body.complete) sent.succeeded()
    else if (request.signal.aborted) sent.abandoned()
    else sent.failed()
  })
}

function watchFailure(sent: SentRequest, failure: TargetFailure): void {
  const { code, verdict, reusedConnection } = failure
  // A connection that was kept too long says nothing of its target.
  if (reusedConnection) sent.abandoned()
  else if (code === FailureCode.TargetFailed && verdict === Verdict.NotRun)
    sent.refused()
  else sent.failed()
}

/** Creates a client that tells `health` how each request ended. */
export function createHealthTrackingClient(
  targets: TargetClient,
  health: TargetHealth,
): TargetClient {
  return {
    ...targets,
    async send(target, request, ...rest) {
      const sent = health.sent(target.id)
      const result = await targets.send(target, request, ...rest)
      if (result.isOk()) watchReply(sent, result.value, request)
      else if (request.signal.aborted) sent.abandoned()
      else watchFailure(sent, result.error)
      return result
    },
  }
}
