import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

/** A small call over HTTP. */
export interface BytesCall {
  readonly method: string
  readonly url: string
  readonly body?: Buffer
  readonly headers?: OutgoingHttpHeaders
  /** Milliseconds until the call is given up. */
  readonly timeoutMs: number
  readonly agent?: Agent
}

/** A whole answer. */
export interface BytesReply {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** A call that brought no whole answer; it may still have taken effect. */
export interface CallError {
  readonly message: string
}

const MAX_REPLY_BYTES = 64 * 1024 * 1024

/** Sends a request and reads the whole answer. */
export function requestBytes(
  call: BytesCall,
): Promise<Result<BytesReply, CallError>> {
  return new Promise((resolve) => {
    const fail = (message: string): void => {
      resolve(err({ message: `${call.method} ${call.url}: ${message}` }))
    }
    const req = requestUrl(call.url, {
      method: call.method,
      agent: call.agent,
      signal: AbortSignal.timeout(call.timeoutMs),
      headers: {
        ...(call.body && { 'content-length': call.body.length }),
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
        const { statusCode: status = 0, headers } = res
        resolve(ok({ status, headers, body: body.value }))
      })
    })
    req.end(call.body)
  })
}
