// Stand-in of a replica, a process of its own: node replica.mjs JSON. It reports to the store stand-in,
// checks X-Expected-Replica, and writes each request that it runs to standard output.
import { createServer } from 'node:http'
import { request } from 'node:http'

const options = JSON.parse(process.argv[2])
const { id, host, port, service, version, slots, workMs, store } = options
const { eventMs = 100, heartbeatMs, zone, listedPort = port } = options
// The part that crashes this replica, and the events that it has written by then.
const { deadlyPart, deadlyEvents = 0 } = options
const born = Date.now()
let sequence = 0
let running = 0

function report(state) {
  sequence += 1
  const [storeHost, storePort] = store.split(':')
  const entry = {
    service,
    address: `${host}:${listedPort}`,
    zone,
    version,
    'slot-count': slots,
    'replica-state': state,
    'cold-remaining-ms': 0,
    born,
    sequence,
  }
  const path = `/standin/servers/${id}`
  const to = { host: storeHost, port: storePort, method: 'PUT', path }
  const req = request(to, (res) => res.resume())
  req.on('error', () => undefined)
  req.end(JSON.stringify(entry))
}

function note(event, fields) {
  process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`)
}

function refuse(res, status, headers) {
  res.writeHead(status, { 'Content-Length': 0, ...headers })
  res.end()
}

/** Whether a request has the part, other than the last, that crashes this replica. */
function isDeadly(req) {
  const parts = String(req.headers['x-prompt-prefix'] ?? '').split(',')
  const shared = parts.slice(0, -1).map((part) => part.split(':')[0])
  return deadlyPart !== undefined && shared.includes(deadlyPart)
}

function crash(attempt) {
  note('crash', { replica: id, attempt })
  // As the kernel does when a process dies: its sockets are closed, and what it had not sent is lost.
  setTimeout(() => process.kill(process.pid, 'SIGKILL'), 5)
}

async function stream(res, from, count, attempt, deadly) {
  for (let i = from; i <= count && !res.destroyed; i += 1) {
    if (deadly && i - from >= deadlyEvents) {
      res.write(`id: ${i}\ndata: ${version}`)
      crash(attempt)
      return
    }
    res.write(`id: ${i}\ndata: ${version} ${i}\n\n`)
    await new Promise((resolve) => setTimeout(resolve, eventMs))
  }
  res.end()
}

const server = createServer((req, res) => {
  req.resume()
  const attempt = String(req.headers['x-attempt-id'] ?? '')
  const echo = { 'X-Attempt-Id': attempt }
  if (req.url === '/v1/kv-list') {
    res.end(JSON.stringify({ epoch: 1, 'next-token': 0, held: [], born }))
    return
  }
  if (req.headers['x-expected-replica'] !== id) {
    refuse(res, 421, { ...echo, 'X-Replica-Id': id })
    return
  }
  if (running >= 2 * slots) {
    refuse(res, 503, { ...echo, 'X-Not-Executed': '1' })
    return
  }
  running += 1
  const from = req.headers['last-event-id']
  note('run', {
    replica: id,
    attempt,
    method: req.method,
    path: req.url,
    tenant: req.headers['x-tenant'],
    ...(from !== undefined && { from }),
    ...(isDeadly(req) && { deadly: true }),
  })
  res.once('close', () => {
    running -= 1
  })
  const head = { ...echo, 'X-Replica-Signature': `${id}.${attempt}` }
  const events = Number(req.headers['x-events'] ?? 0)
  setTimeout(() => {
    if (res.destroyed) return
    if (events > 0) {
      res.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
      void stream(res, Number(from ?? 0) + 1, events, attempt, isDeadly(req))
      return
    }
    const body = `${id} ${attempt}`
    res.writeHead(200, { ...head, 'Content-Length': body.length })
    res.end(body)
  }, workMs)
})
server.keepAliveTimeout = 10_000
server.listen(port, host, () => {
  note('started', { replica: id, born })
  report('ready')
  setInterval(() => {
    report('ready')
  }, heartbeatMs)
})
