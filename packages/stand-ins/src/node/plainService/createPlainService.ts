import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'
import { createPlainFaults, type PlainFaults } from './plainFaults.js'

/** One call, as the service itself records it. */
export interface PlainCall {
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
}

/** A plain service's stand-in. */
export interface PlainServiceStandIn extends StandIn {
  readonly faults: PlainFaults
  /** Switches on top of `faults` for the next calls, one entry each. */
  readonly queuedFaults: Partial<PlainFaults>[]
  /** What truly ran, in order. */
  readonly calls: readonly PlainCall[]
}

function sendCut(
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
  const script: Partial<PlainFaults>[] = []
  const taken = new WeakMap<object, PlainFaults>()

  async function run(call: StandInRequest): Promise<void> {
    const { req, res, method, url, body } = call
    const switches = taken.get(req) ?? faults
    if (switches.refuse) {
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
    if (switches.silent) return
    if (switches.resetAfter) {
      res.destroy()
      return
    }
    if (switches.delayMs > 0) await sleep(switches.delayMs)
    const echoed = switches.crossAnswers ? randomUUID() : record.requestId
    const headers = { 'x-request-id': echoed }
    const echo = switches.crossAnswers ? { notice: 'foreign' } : body
    const answer = { recorded: calls.length, echo }
    if (switches.cutAfterBytes >= 0)
      sendCut(res, answer, headers, switches.cutAfterBytes)
    else sendJson(res, 200, answer, headers)
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { res, method, url, body } = call
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, body)
      sendJson(res, 200, faults)
    } else if (url.pathname === '/load') sendJson(res, 200, { inFlight: 0 })
    else await run(call)
  }

  const standIn = await createStandIn(handle, address, (req) => {
    if (req.url === '/load' || req.url === '/faults') return true
    const switches = { ...faults, ...script.shift() }
    taken.set(req, switches)
    if (switches.resetBefore) req.socket.destroy()
    return !switches.resetBefore
  })
  return { ...standIn, faults, queuedFaults: script, calls }
}
