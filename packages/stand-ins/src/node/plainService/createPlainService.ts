import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'

/** One call, as the service itself records it. */
export interface PlainCall {
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly method: string
  readonly path: string
}

/** A plain service's stand-in. */
export interface PlainServiceStandIn extends StandIn {
  /** What truly ran, in order. */
  readonly calls: readonly PlainCall[]
}

/** Starts a stand-in for a plain service that records each call. */
export async function createPlainService(
  address?: ListenAddress,
): Promise<PlainServiceStandIn> {
  const calls: PlainCall[] = []
  const standIn = await createStandIn(({ req, res, method, url, body }) => {
    if (url.pathname === '/load') {
      sendJson(res, 200, { inFlight: 0 })
      return
    }
    const call: PlainCall = {
      requestId: String(req.headers['x-request-id'] ?? ''),
      idempotencyKey: req.headers['idempotency-key'] as string | undefined,
      method,
      path: url.pathname,
    }
    calls.push(call)
    const headers = { 'x-request-id': call.requestId }
    sendJson(res, 200, { recorded: calls.length, echo: body }, headers)
  }, address)
  return { ...standIn, calls }
}
