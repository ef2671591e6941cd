import type { Context } from '@opentelemetry/api'
import { type RequestFailure, Verdict } from '@auburnbay/core'
import { err, ok, type Result } from 'neverthrow'
import type { TargetSlot, Routing } from '../routing/routing.js'
import type { TargetClient } from '../targets/targetClient.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import { Hop, type Tracing } from '../tracing/createTracing.js'
import { spanAttributes } from '../tracing/spanAttributes.js'
import type { RoutedRequest } from './routedRequest.js'

/** An attempt that got a response: the slot it holds and the response head. */
export interface Attempt {
  readonly slot: TargetSlot
  readonly response: TargetResponse
}

/** Selects a target for a request and sends the request to it once. */
export type SendAttempt = (
  request: RoutedRequest,
  /** Targets that must not be selected; a target that fails is added. */
  exclude: Set<string>,
  parent: Context,
  /** Whether an earlier attempt of the same request failed. */
  isRetry: boolean,
) => Promise<Result<Attempt, RequestFailure>>

/** Options for {@link createAttempt}. */
export interface AttemptOptions {
  readonly routing: Pick<Routing, 'selectTarget'>
  readonly targets: TargetClient
  readonly tracing: Tracing
}

/** Creates the function that makes a single attempt. */
export function createAttempt(options: AttemptOptions): SendAttempt {
  const { routing, targets, tracing } = options

  return async (request, exclude, parent, isRetry) => {
    const decideSpan = tracing.startSpan(
      Hop.Decide,
      parent,
      spanAttributes(request),
    )
    const selected = await routing.selectTarget(request, exclude)
    if (selected.isOk())
      decideSpan.setAttributes({ target: selected.value.target.id })
    else decideSpan.setAttributes({ verdict: selected.error.verdict })
    decideSpan.end(selected.isErr() ? selected.error.message : undefined)
    if (selected.isErr()) return err(selected.error)
    const slot = selected.value
    const targetSpan = tracing.startSpan(Hop.Target, parent, {
      ...spanAttributes(request),
      target: slot.target.id,
    })
    const headers = tracing.inject(targetSpan.context)
    const sent = await targets.send(slot.target, request, headers, {
      newConnection: isRetry,
    })
    if (sent.isErr()) {
      slot.release()
      // A stale keep-alive connection says nothing about its target's health.
      if (!sent.error.reusedConnection) exclude.add(slot.target.id)
      targetSpan.setAttributes({ verdict: sent.error.verdict })
      targetSpan.end(sent.error.message)
      return err(sent.error)
    }
    targetSpan.setAttributes({ verdict: Verdict.Ran })
    sent.value.body.once('close', () => {
      targetSpan.end()
    })
    return ok({ slot, response: sent.value })
  }
}
