import { Agent } from 'node:http'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

const MAX_REPLY_BYTES = 16 * 1024 * 1024

/** The part of the fetch options that clients of ours set. */
export interface NodeFetchInit {
  readonly method?: string
  readonly headers?: [string, string][] | Record<string, string>
  readonly body?: unknown
  readonly signal?: AbortSignal | null
}

/** Bytes that a fetch function has sent and received as bodies. */
export interface TrafficCount {
  sentBytes: number
  receivedBytes: number
}

/** Creates a `fetch` over Node's `http` with kept connections. */
export function createNodeFetch(
  agent: Agent = new Agent({ keepAlive: true }),
  traffic: TrafficCount = { sentBytes: 0, receivedBytes: 0 },
): (input: URL | string, init?: NodeFetchInit) => Promise<Response> {
  return (input, init = {}) =>
    new Promise((resolve, reject) => {
      const payload = typeof init.body === 'string' ? init.body : undefined
      const req = requestUrl(input, {
        method: init.method ?? 'GET',
        agent,
        signal: init.signal ?? undefined,
        headers: Object.fromEntries(new Headers(init.headers)),
      })
      req.on('error', reject)
      req.on('response', (res) => {
        void readBody(res, MAX_REPLY_BYTES).then((body) => {
          if (body.isErr()) {
            reject(new Error(`the answer was cut off (${body.error})`))
            return
          }
          traffic.receivedBytes += body.value.length
          const headers = { 'content-type': 'application/json' }
          const status = res.statusCode ?? 502
          resolve(new Response(body.value, { status, headers }))
        })
      })
      if (payload !== undefined) traffic.sentBytes += Buffer.byteLength(payload)
      req.end(payload)
    })
}
