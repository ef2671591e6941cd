// Stand-in for a replica: slots, a queue, signed responses, HTTP/1.1.
import { createServer } from 'node:http'
import { Server as NetServer } from 'node:net'

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/**
 * Starts a replica on a free port of `host`.
 *
 * `workMs` is the time that a request takes; `respond(req, res, body)` may answer
 * a request in another way, and returns true if it has.
 */
export async function startReplica(host, id, options = {}) {
  const { service = 'app', slots = 6, queue = 24, workMs = 85 } = options
  const runs = []
  const waiting = []
  let running = 0
  let leaving = false

  function take() {
    if (running < slots) {
      running += 1
      return Promise.resolve()
    }
    return new Promise((resolve) => waiting.push(resolve))
  }

  function release() {
    const next = waiting.shift()
    if (next) next()
    else running -= 1
  }

  function head(req, extra = {}) {
    return {
      'X-Attempt-Id': req.headers['x-attempt-id'] ?? '',
      ...(leaving && { 'Server-Leaving': '1' }),
      ...extra,
    }
  }

  async function handle(req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    if (req.url === '/health') {
      res.writeHead(leaving ? 503 : 200, { 'X-Replica-Id': id })
      res.end()
      return
    }
    if ((req.headers['x-expected-replica'] ?? id) !== id) {
      res.writeHead(421, head(req, { 'X-Replica-Id': id }))
      res.end()
      return
    }
    if (running >= slots && waiting.length >= queue) {
      res.writeHead(503, head(req, { 'X-Not-Executed': '1' }))
      res.end()
      return
    }
    await take()
    try {
      if (res.destroyed) return
      const run = {
        id: req.headers['x-attempt-id'],
        atMs: performance.now(),
        url: req.url,
        lastEventId: req.headers['last-event-id'],
        replica: id,
      }
      runs.push(run)
      const signed = head(req, { 'X-Replica-Signature': `sig-${id}` })
      if (await options.respond?.({ req, res, body, signed, run })) return
      await sleep(workMs)
      if (res.destroyed) return
      const text = `${id} ran ${run.id}`
      res.writeHead(200, { ...signed, 'Content-Length': text.length })
      res.end(text)
    } finally {
      release()
    }
  }

  const server = createServer({ keepAliveTimeout: 15_000 }, (req, res) => {
    handle(req, res).catch(() => res.destroy())
  })
  await new Promise((resolve) => server.listen(0, host, resolve))
  const address = `${host}:${server.address().port}`
  const entry = {
    service,
    address,
    zone: 'hall-a',
    version: options.version ?? 'v1',
    'slot-count': slots,
    'replica-state': 'ready',
    'cold-remaining-ms': 0,
    sequence: 1,
    born: Date.now(),
  }
  return {
    id,
    address,
    entry,
    runs,
    get running() {
      return running
    },
    set leaving(value) {
      leaving = value
    },
    /** Refuses new connections; open ones live on. */
    refuseConnections() {
      // Unlike the method of an HTTP server, this one keeps idle connections.
      NetServer.prototype.close.call(server)
    },
    acceptConnections() {
      const [, port] = address.split(':')
      return new Promise((resolve) =>
        server.listen(Number(port), host, resolve),
      )
    },
    /** Ends the replica as a crash does: its connections break. */
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}
