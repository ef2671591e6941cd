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

/** Request header that names a call towards the stand-ins' records. */
export const MARKER_HEADER = 'x-marker'

/** One call on its way to a router. */
export interface CallToSend {
  readonly call: ScheduledCall
  readonly url: string
  readonly callerKey: string
  readonly marker: string
  readonly idempotencyKey: string
}

const PLAIN_PATH = '/v1/services/charts/notices'
const agent = new Agent({ keepAlive: false })

function bodyOf({ call, marker, idempotencyKey }: CallToSend): string {
  switch (call.kind) {
    case CallKind.Stream:
    case CallKind.WholeChat:
      return JSON.stringify({
        model: 'briefing',
        stream: call.kind === CallKind.Stream,
        messages: [{ role: 'user', content: marker }],
      })
    case CallKind.KeyedCall:
      return JSON.stringify({ notice: idempotencyKey })
    case CallKind.IdempotentCall:
    case CallKind.UnrepeatableCall:
      return JSON.stringify({ notice: marker })
  }
}

function headersOf(sending: CallToSend): Record<string, string> {
  const { call, callerKey, marker, idempotencyKey } = sending
  const idempotent =
    call.kind !== CallKind.KeyedCall && call.kind !== CallKind.UnrepeatableCall
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

/** Sends a call and resolves with what its caller was told. */
export async function sendCall(sending: CallToSend): Promise<CallOutcome> {
  const { call, url, marker, idempotencyKey } = sending
  const { kind, leavesAfterMs } = call
  const chats = kind === CallKind.Stream || kind === CallKind.WholeChat
  const path = chats ? '/v1/chat/completions' : PLAIN_PATH
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
      headers: headersOf(sending),
    })
    if (leavesAfterMs !== undefined)
      setTimeout(() => req.destroy(), leavesAfterMs)
    let answered = false
    const nothing = { ...base, status: 0, text: '', whole: false }
    req.on('error', () => {
      resolve(nothing)
    })
    req.on('close', () => {
      if (!answered) resolve(nothing)
    })
    req.on('response', (res) => {
      answered = true
      let text = ''
      res.setEncoding('utf8')
      res.on('data', (chunk: string) => {
        text += chunk
      })
      res.on('error', () => undefined)
      res.on('close', () => {
        const { statusCode: status = 0, complete: whole } = res
        const verdict = String(res.headers[VERDICT_HEADER])
        resolve({ ...base, status, verdict, text, whole })
      })
    })
    req.end(bodyOf(sending))
  })
}
