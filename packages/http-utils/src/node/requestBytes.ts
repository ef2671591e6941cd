import type { Agent, IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http'
import type { Socket } from 'node:net'
import { err, ok, type Result } from 'neverthrow'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

/** Options for {@link requestBytes}. */
export interface RequestBytesOptions {
  readonly method: string
  readonly url: string
  readonly body?: Buffer
  readonly headers?: OutgoingHttpHeaders
  /** Timeout until the response starts and between two chunks of it, in milliseconds. */
  readonly timeoutMs: number
  /**
   * Maximum length of the response's body.
   * @default 64 MiB
   */
  readonly maxBytes?: number
  readonly agent?: Agent
  readonly onSocket?: (socket: Socket) => void
}

/** A complete response. */
export interface BytesResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

/** A request without a complete response; it may still have taken effect. */
export interface RequestError {
  readonly message: string
}

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024
/** Maximum duration of a request in multiples of its timeout, even if bytes keep arriving. */
const MAX_TIMEOUTS = 5

/** Sends a request and reads the complete response; an invalid URL is an error like any other. */
export function requestBytes(
  options: RequestBytesOptions,
): Promise<Result<BytesResponse, RequestError>> {
  return sendRequest(options).catch((error: unknown) =>
    err({ message: `${options.method} ${options.url}: ${String(error)}` }),
  )
}

/** Rejects if no request can be created for the URL. */
function sendRequest(
  options: RequestBytesOptions,
): Promise<Result<BytesResponse, RequestError>> {
  const { maxBytes = MAX_RESPONSE_BYTES } = options
  return new Promise((resolve) => {
    const aborter = new AbortController()
    const req = requestUrl(options.url, {
      method: options.method,
      agent: options.agent,
      signal: aborter.signal,
      headers: {
        ...(options.body && { 'content-length': options.body.length }),
        ...options.headers,
      },
    })
    const abort = (): void => {
      aborter.abort()
    }
    let idleTimer = setTimeout(abort, options.timeoutMs)
    const restartIdleTimer = (): void => {
      clearTimeout(idleTimer)
      idleTimer = setTimeout(abort, options.timeoutMs)
    }
    const totalTimer = setTimeout(abort, MAX_TIMEOUTS * options.timeoutMs)
    const finish = (result: Result<BytesResponse, RequestError>): void => {
      clearTimeout(idleTimer)
      clearTimeout(totalTimer)
      resolve(result)
    }
    const fail = (message: string): void => {
      finish(err({ message: `${options.method} ${options.url}: ${message}` }))
    }
    req.once('socket', (socket) => options.onSocket?.(socket))
    req.on('error', (error) => {
      fail(error.message)
    })
    req.on('response', (res) => {
      restartIdleTimer()
      const reading = readBody(res, maxBytes, { onProgress: restartIdleTimer })
      void reading.then((body) => {
        if (body.isErr()) {
          res.destroy()
          fail(`the answer was cut off (${body.error})`)
          return
        }
        const { statusCode: status = 0, headers } = res
        finish(ok({ status, headers, body: body.value }))
      })
    })
    req.end(options.body)
  })
}
