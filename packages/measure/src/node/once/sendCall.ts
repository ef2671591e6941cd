import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  CHAT_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENT_HEADER,
  VERDICT_HEADER,
} from '@auburnbay/core'
import type { CallOutcome } from './callOutcome.js'
import { CallKind, type ScheduledCall } from './schedule.js'

/** Request header that identifies a call in the records of the stand-ins. */
export const MARKER_HEADER = 'x-marker'

/** Options for {@link sendCall}. */
export interface SendCallOptions {
  readonly call: ScheduledCall
  readonly url: string
  readonly callerKey: string
  readonly marker: string
  readonly idempotencyKey: string
}

const PLAIN_PATH = '/v1/services/charts/notices'
const agent = new Agent({ keepAlive: false })

function bodyOf({ call, marker, idempotencyKey }: SendCallOptions): string {
  switch (call.kind) {
    case CallKind.StreamedChat:
    case CallKind.NonStreamedChat:
      return JSON.stringify({
        model: 'briefing',
        stream: call.kind === CallKind.StreamedChat,
        messages: [{ role: 'user', content: marker }],
      })
    case CallKind.KeyedCall:
      return JSON.stringify({ notice: idempotencyKey })
    case CallKind.IdempotentCall:
    case CallKind.NonIdempotentCall:
      return JSON.stringify({ notice: marker })
  }
}

function headersOf(options: SendCallOptions): Record<string, string> {
  const { call, callerKey, marker, idempotencyKey } = options
  const idempotent =
    call.kind !== CallKind.KeyedCall && call.kind !== CallKind.NonIdempotentCall
  return {
    authorization: `Bearer ${callerKey}`,
    'content-type': 'application/json',
    [CHAT_HEADER]: marker,
    [MARKER_HEADER]: marker,
    [IDEMPOTENT_HEADER]: String(idempotent),
    ...(call.kind === CallKind.KeyedCall
      ? { 'idempotency-key': idempotencyKey }
      : {}),
    ...(call.deadlineMs === undefined
      ? {}
      : { [DEADLINE_HEADER]: String(call.deadlineMs) }),
  }
}

/** Sends a call to a router and resolves with the caller's outcome. */
export async function sendCall(options: SendCallOptions): Promise<CallOutcome> {
  const { call, url, marker, idempotencyKey } = options
  const { kind, abortAfterMs } = call
  const isChat =
    kind === CallKind.StreamedChat || kind === CallKind.NonStreamedChat
  const path = isChat ? '/v1/chat/completions' : PLAIN_PATH
  if (call.startAfterMs > 0) await sleep(call.startAfterMs)
  const base = {
    kind,
    marker,
    ...(kind === CallKind.KeyedCall ? { idempotencyKey } : {}),
  }
  return new Promise((resolve) => {
    const req = request(`${url}${path}`, {
      method: 'POST',
      agent,
      headers: headersOf(options),
    })
    if (abortAfterMs !== undefined)
      setTimeout(() => req.destroy(), abortAfterMs)
    let hasResponse = false
    const noResponse = { ...base, status: 0, text: '', complete: false }
    req.on('error', () => {
      resolve(noResponse)
    })
    req.on('close', () => {
      if (!hasResponse) resolve(noResponse)
    })
    req.on('response', (res) => {
      hasResponse = true
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.on('error', () => undefined)
      res.on('close', () => {
        const { statusCode: status = 0, complete } = res
        const verdict = String(res.headers[VERDICT_HEADER])
        resolve({ ...base, status, verdict, text, complete })
      })
    })
    req.end(bodyOf(options))
  })
}
