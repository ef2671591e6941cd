// Stand-in for clients, which keep connections and know every router of their zone.
import { Agent, request } from 'node:http'

let attempts = 0

/** Returns a new id of a client attempt. */
export function nextAttemptId() {
  attempts += 1
  return attempts.toString(16).padStart(16, '0')
}

/** Host of every route in the cases. */
export const HOST = 'ficu95.example'

/**
 * Sends one request; resolves to what the client has seen. `closed` means that the
 * connection ended without a response head.
 */
export function send(router, path, options = {}) {
  const { method = 'GET', headers = {}, body, agent, signal } = options
  const id = options.id ?? nextAttemptId()
  const sentAtMs = performance.now()
  return new Promise((resolve) => {
    let text = ''
    const req = request({
      host: router.ip,
      port: router.port,
      path,
      method,
      agent: agent ?? false,
      ...(signal && { signal }),
      headers: {
        Host: HOST,
        'X-Attempt-Id': id,
        'X-Deadline-Ms': '4000',
        ...headers,
        ...(body !== undefined && {
          'Content-Length': Buffer.byteLength(body),
        }),
      },
    })
    const finish = (seen) => {
      const { reusedSocket } = req
      const ms = performance.now() - sentAtMs
      resolve({
        id,
        path,
        router: router.name,
        kept: reusedSocket,
        sentAtMs,
        ms,
        text,
        ...seen,
      })
    }
    req.on('error', (error) => finish({ closed: true, error: error.message }))
    req.on('response', (res) => {
      const { statusCode: status, headers: received } = res
      const signature = received['x-replica-signature']
      const echo = received['x-attempt-id']
      const seen = { status, signature, echo, headers: received }
      res.on('data', (chunk) => {
        text += String(chunk)
        options.onData?.(String(chunk))
      })
      res.on('end', () => finish({ ...seen, complete: res.complete }))
      res.on('error', () => finish({ ...seen, complete: false }))
    })
    req.end(body)
  })
}

/** A client with one kept connection to each router. */
export class KeptConnection {
  agent = new Agent({ keepAlive: true, maxSockets: 1 })

  send(router, path, options = {}) {
    return send(router, path, { ...options, agent: this.agent })
  }

  close() {
    this.agent.destroy()
  }
}
