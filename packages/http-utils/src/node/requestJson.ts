import type { Agent, OutgoingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

/** A small JSON call over HTTP. */
export interface JsonCall {
  readonly method: string
  readonly url: string
  readonly body?: unknown
  readonly headers?: OutgoingHttpHeaders
  /** Milliseconds until the call is given up. */
  readonly timeoutMs: number
  readonly agent?: Agent
}

/** A JSON answer. */
export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

/** A call that brought no JSON answer; it may still have taken effect. */
export interface CallError {
  readonly message: string
}

const MAX_REPLY_BYTES = 64 * 1024 * 1024

function parse(text: string): unknown {
  return text === '' ? undefined : JSON.parse(text)
}

/** Sends a JSON request and reads the JSON answer. */
export function requestJson(
  call: JsonCall,
): Promise<Result<JsonReply, CallError>> {
  return new Promise((resolve) => {
    const fail = (message: string): void => {
      resolve(err({ message: `${call.method} ${call.url}: ${message}` }))
    }
    const payload =
      call.body === undefined ? undefined : JSON.stringify(call.body)
    const req = requestUrl(call.url, {
      method: call.method,
      agent: call.agent,
      signal: AbortSignal.timeout(call.timeoutMs),
      headers: {
        ...(payload === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(payload),
            }),
        ...call.headers,
      },
    })
    req.on('error', (error) => {
      fail(error.message)
    })
    req.on('response', (res) => {
      void readBody(res, MAX_REPLY_BYTES).then((body) => {
        if (body.isErr()) {
          fail(`the answer was cut off (${body.error})`)
          return
        }
        try {
          resolve(
            ok({
              status: res.statusCode ?? 0,
              body: parse(body.value.toString('utf8')),
            }),
          )
        } catch {
          fail('the answer is not JSON')
        }
      })
    })
    req.end(payload)
  })
}
