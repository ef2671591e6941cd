import { Agent } from 'node:http'
import type { Socket } from 'node:net'
import { readBody } from './readBody.js'
import { requestUrl } from './requestUrl.js'

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024

/** Supported subset of the fetch options. */
export interface NodeFetchInit {
  readonly method?: string
  readonly headers?: [string, string][] | Record<string, string>
  readonly body?: unknown
  readonly signal?: AbortSignal | null
}

/** Bytes sent and received, including headers. */
export interface TrafficCount {
  sentBytes: number
  receivedBytes: number
}

interface SocketBytes {
  sent: number
  received: number
}

/** Adds the bytes transferred on `socket` since the last call to `traffic`. */
function countBytes(
  socket: Socket,
  seen: WeakMap<Socket, SocketBytes>,
  traffic: TrafficCount,
): void {
  const before = seen.get(socket) ?? { sent: 0, received: 0 }
  const after = { sent: socket.bytesWritten, received: socket.bytesRead }
  traffic.sentBytes += after.sent - before.sent
  traffic.receivedBytes += after.received - before.received
  seen.set(socket, after)
}

/** Creates a `fetch` function on `node:http` with persistent connections. */
export function createNodeFetch(
  agent: Agent = new Agent({ keepAlive: true }),
  traffic: TrafficCount = { sentBytes: 0, receivedBytes: 0 },
): (input: URL | string, init?: NodeFetchInit) => Promise<Response> {
  const seen = new WeakMap<Socket, SocketBytes>()
  return (input, init = {}) =>
    new Promise((resolve, reject) => {
      const payload = typeof init.body === 'string' ? init.body : undefined
      const req = requestUrl(input, {
        method: init.method ?? 'GET',
        agent,
        signal: init.signal ?? undefined,
        headers: Object.fromEntries(new Headers(init.headers)),
      })
      // HTTP/1.1 connections are persistent by default.
      req.removeHeader('connection')
      req.on('error', reject)
      req.on('response', (res) => {
        const { socket } = res
        void readBody(res, MAX_RESPONSE_BYTES).then((body) => {
          countBytes(socket, seen, traffic)
          if (body.isErr()) {
            res.destroy()
            reject(new Error(`incomplete response body (${body.error})`))
            return
          }
          const headers = { 'content-type': 'application/json' }
          const status = res.statusCode ?? 502
          resolve(new Response(body.value, { status, headers }))
        })
      })
      req.end(payload)
    })
}
