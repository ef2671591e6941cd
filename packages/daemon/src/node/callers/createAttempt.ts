import type { Context } from '@opentelemetry/api'
import { type RequestFailure, Verdict } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { TargetSlot, Routing } from '../routing/routing.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import { Hop, type Tracing } from '../tracing/createTracing.js'
import { spanAttributes } from '../tracing/spanAttributes.js'
import type { RoutedRequest } from './routedRequest.js'

/** An answered attempt: the place it holds and the answer's head. */
export interface Attempt {
  readonly placement: TargetSlot
  readonly reply: TargetResponse
}

/** Places a request on a target and sends it there once. */
export type AttemptOnce = (
  request: RoutedRequest,
  /** Targets not to choose; one that fails is added. */
  exclude: Set<string>,
  parent: Context,
  /** Whether an earlier attempt has failed. */
  again: boolean,
) => Promise<Result<Attempt, RequestFailure>>

/** What one attempt works with. */
export interface AttemptOptions {
  readonly routing: Pick<Routing, 'selectTarget'>
  readonly targets: TargetClient
  readonly tracing: Tracing
}

/** Creates the step that places and sends a request once. */
export function createAttempt(options: AttemptOptions): AttemptOnce {
  const { routing, targets, tracing } = options

  return async (request, exclude, parent, again) => {
    const deciding = tracing.startSpan(
      Hop.Decide,
      parent,
      spanAttributes(request),
    )
    const placed = await routing.selectTarget(request, exclude)
    if (placed.isOk())
      deciding.setAttributes({ target: placed.value.target.id })
    else deciding.setAttributes({ verdict: placed.error.verdict })
    deciding.end(placed.isErr() ? placed.error.message : undefined)
    if (placed.isErr()) return err(placed.error)
    const placement = placed.value
    const sending = tracing.startSpan(Hop.Target, parent, {
      ...spanAttributes(request),
      target: placement.target.id,
    })
    const headers = tracing.inject(sending.context)
    const sent = await targets.send(placement.target, request, headers, {
      newConnection: again,
    })
    if (sent.isErr()) {
      placement.release()
      // A connection that was kept too long says nothing against its target.
      if (!sent.error.reusedConnection) exclude.add(placement.target.id)
      sending.setAttributes({ verdict: sent.error.verdict })
      sending.end(sent.error.message)
      return err(sent.error)
    }
    sending.setAttributes({ verdict: Verdict.Ran })
    sent.value.body.once('close', () => {
      sending.end()
    })
    return ok({ placement, reply: sent.value })
  }
}
