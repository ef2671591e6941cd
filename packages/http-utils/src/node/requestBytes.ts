import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

/** A small call over HTTP. */
export interface RequestBytesOptions {
  readonly method: string
  readonly url: string
  readonly body?: Buffer
  readonly headers?: OutgoingHttpHeaders
  /** Milliseconds until the answer begins, and between two pieces of it. */
  readonly timeoutMs: number
  readonly agent?: Agent
}

/** A whole answer. */
export interface BytesResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** A call that brought no whole answer; it may still have taken effect. */
export interface RequestError {
  readonly message: string
}

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024
/** A whole call takes this many time-outs at most, however steadily bytes come. */
const MAX_TIMEOUTS = 5

/** Sends a request and reads the whole answer. */
export function requestBytes(
  call: RequestBytesOptions,
): Promise<Result<BytesResponse, RequestError>> {
  return new Promise((resolve) => {
    const givenUp = new AbortController()
    const giveUp = (): void => {
      givenUp.abort()
    }
    let idle = setTimeout(giveUp, call.timeoutMs)
    const heard = (): void => {
      clearTimeout(idle)
      idle = setTimeout(giveUp, call.timeoutMs)
    }
    const whole = setTimeout(giveUp, MAX_TIMEOUTS * call.timeoutMs)
    const end = (result: Result<BytesResponse, RequestError>): void => {
      clearTimeout(idle)
      clearTimeout(whole)
      resolve(result)
    }
    const fail = (message: string): void => {
      end(err({ message: `${call.method} ${call.url}: ${message}` }))
    }
    const req = requestUrl(call.url, {
      method: call.method,
      agent: call.agent,
      signal: givenUp.signal,
      headers: {
        ...(call.body && { 'content-length': call.body.length }),
        ...call.headers,
      },
    })
    req.on('error', (error) => {
      fail(error.message)
    })
    req.on('response', (res) => {
      heard()
      void readBody(res, MAX_RESPONSE_BYTES).then((body) => {
        if (body.isErr()) {
          fail(`the answer was cut off (${body.error})`)
          return
        }
        const { statusCode: status = 0, headers } = res
        end(ok({ status, headers, body: body.value }))
      })
      // The body is being read already; this only looks on.
      res.on('data', heard)
    })
    req.end(call.body)
  })
}
