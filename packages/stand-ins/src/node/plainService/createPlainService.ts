import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'
import { createPlainFaults, type PlainFaults } from './plainFaults.js'

/** Record of one call to a plain service. */
export interface PlainCall {
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
}

/** Stand-in for a plain service. */
export interface PlainServiceStandIn extends StandIn {
  readonly faults: PlainFaults
  /** Faults that override `faults` for the next calls, one entry per call. */
  readonly queuedFaults: Partial<PlainFaults>[]
  /** Calls that ran, in order. */
  readonly calls: readonly PlainCall[]
}

/** Sends the first bytes of a JSON response, then cuts the connection. */
function sendTruncated(
  res: ServerResponse,
  value: unknown,
  headers: Record<string, string>,
  bytes: number,
): void {
  const text = JSON.stringify(value)
  const length = Buffer.byteLength(text)
  res.writeHead(200, { ...headers, 'content-length': length })
  const part = text.slice(0, bytes % length)
  res.write(part, () => res.destroy())
  if (part === '') res.destroy()
}

/** Starts a stand-in for a plain service that records each call. */
export async function createPlainService(
  address?: ListenAddress,
): Promise<PlainServiceStandIn> {
  const calls: PlainCall[] = []
  const faults = createPlainFaults()
  const queuedFaults: Partial<PlainFaults>[] = []
  const faultsByRequest = new WeakMap<object, PlainFaults>()

  async function handleCall(call: StandInRequest): Promise<void> {
    const { req, res, method, url, body } = call
    const activeFaults = faultsByRequest.get(req) ?? faults
    if (activeFaults.refuse) {
      const headers = { 'x-refused': 'before-running' }
      sendJson(res, 503, { error: 'refused' }, headers)
      return
    }
    const record: PlainCall = {
      requestId: String(req.headers['x-request-id'] ?? ''),
      idempotencyKey: req.headers['idempotency-key'] as string | undefined,
      method,
      path: url.pathname,
      headers: req.headers,
    }
    calls.push(record)
    if (activeFaults.silent) return
    if (activeFaults.resetAfter) {
      res.destroy()
      return
    }
    if (activeFaults.delayMs > 0) await sleep(activeFaults.delayMs)
    const requestId = activeFaults.crossAnswers
      ? randomUUID()
      : record.requestId
    const headers = { 'x-request-id': requestId }
    const echo = activeFaults.crossAnswers ? { notice: 'foreign' } : body
    const responseBody = { recorded: calls.length, echo }
    if (activeFaults.cutAfterBytes >= 0)
      sendTruncated(res, responseBody, headers, activeFaults.cutAfterBytes)
    else sendJson(res, 200, responseBody, headers)
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { res, method, url, body } = call
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, body)
      sendJson(res, 200, faults)
    } else if (url.pathname === '/load') sendJson(res, 200, { inFlight: 0 })
    else await handleCall(call)
  }

  const standIn = await createStandIn(handle, address, (req) => {
    if (req.url === '/load' || req.url === '/faults') return true
    const activeFaults = { ...faults, ...queuedFaults.shift() }
    faultsByRequest.set(req, activeFaults)
    if (activeFaults.resetBefore) req.socket.destroy()
    return !activeFaults.resetBefore
  })
  return { ...standIn, faults, queuedFaults, calls }
}
