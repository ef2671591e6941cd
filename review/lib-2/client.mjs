// Clients: one attempt each, on a new connection or on one of an agent.
import { randomBytes } from 'node:crypto'
import { request } from 'node:http'

export const newAttemptId = () => randomBytes(8).toString('hex')

/**
 * Sends one attempt. Resolves to what the client saw: status (0 without an answer), events
 * (id and data of each whole one), whether the answer is complete, and Retry-After.
 * `options.breakAfterMs` closes the client's own connection.
 */
export function attempt(router, options) {
  const {
    path,
    headers = {},
    body = '',
    agent = false,
    method = 'POST',
  } = options
  const attemptId = options.attemptId ?? newAttemptId()
  const sentAt = Date.now()
  return new Promise((resolve) => {
    const seen = { attemptId, sentAt, status: 0, events: [], complete: false }
    let text = ''
    let isEnded = false
    function end(reason) {
      if (isEnded) return
      isEnded = true
      clearTimeout(deadline)
      resolve({
        ...seen,
        body: text,
        reason,
        endedAt: Date.now(),
        reused: req.reusedSocket,
      })
    }
    const req = request({
      host: router.host,
      port: router.port,
      path,
      method,
      agent,
      headers: {
        Host: options.host,
        'X-Attempt-Id': attemptId,
        'X-Deadline-Ms': String(options.deadlineMs),
        'Content-Length': Buffer.byteLength(body),
        ...headers,
      },
    })
    options.onRequest?.(req, seen)
    const deadline = setTimeout(() => {
      end('deadline')
      req.destroy()
    }, options.deadlineMs)
    req.on('error', (error) => end(error.code ?? error.message))
    req.on('response', (res) => {
      seen.status = res.statusCode
      seen.retryAfterS = Number(res.headers['retry-after'] ?? 0)
      seen.signature = res.headers['x-replica-signature']
      res.on('data', (bytes) => {
        text += bytes
        for (
          let at = text.indexOf('\n\n');
          at >= 0;
          at = text.indexOf('\n\n')
        ) {
          const [, id, data] =
            /^id: (\d+)\ndata: (.*)$/m.exec(text.slice(0, at)) ?? []
          text = text.slice(at + 2)
          if (id !== undefined) {
            seen.events.push({ id: Number(id), data })
            options.onEvent?.(seen)
          }
        }
      })
      res.on('end', () => {
        seen.complete = res.complete
        end(res.complete ? 'complete' : 'cut')
      })
      res.on('error', () => end('cut'))
      res.on('close', () => end('cut'))
    })
    req.end(body)
  })
}
