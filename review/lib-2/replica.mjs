// Stand-in for a replica, one process each (PROTOCOL.md, "Replicas"). It gets its options
// as JSON in its first argument and writes what it runs to standard output.
// A request's body says what the work is: {"events": N, "gapMs": MS} for a stream,
// {"workMs": MS} for a plain answer. With "crashAfterMs" the replica crashes so long after it
// has begun to run the request.
import { createServer, request } from 'node:http'
import process from 'node:process'

const options = JSON.parse(process.argv[2])
const { id, host, port, service, version, slots, queue, store } = options
const HEARTBEAT_MS = 1_200
const born = Date.now()
let sequence = 0
let runs = 0
let held = 0
let state = 'ready'

function write(line) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), ...line })}\n`)
}

/** Returns the adapters that are loaded: five of them change with each heartbeat. */
function loadedAdapters() {
  const { loaded = 0, of = 1 } = options.adapters ?? {}
  const name = (i) =>
    `tenant-adapter-${String((5 * sequence + i) % of).padStart(8, '0')}`
  return Array.from({ length: loaded }, (_, i) => name(i))
}

function register() {
  sequence += 1
  const entry = {
    service,
    address: `${host}:${port}`,
    zone: 'zone-a',
    version,
    'slot-count': slots,
    'replica-state': state,
    'cold-remaining-ms': 0,
    stage: 'combined',
    models: [{ name: 'm', version: 1, adapters: loadedAdapters() }],
    born,
    sequence,
  }
  const [storeHost, storePort] = store.split(':')
  const req = request({
    host: storeHost,
    port: storePort,
    method: 'POST',
    path: `/stand-in/entry?id=${id}`,
  })
  req.on('error', () => undefined)
  req.on('response', (res) => res.resume())
  req.end(JSON.stringify(entry))
}

async function bodyOf(req) {
  const pieces = []
  for await (const piece of req) pieces.push(piece)
  return Buffer.concat(pieces).toString()
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

async function runStream(req, res, { events, gapMs }, run) {
  const resumesAt = Number(req.headers['last-event-id'] ?? 0)
  for (let event = resumesAt + 1; event <= events; event += 1) {
    await sleep(gapMs)
    if (res.destroyed) return 'dropped'
    res.write(`id: ${event}\ndata: ${id} ${version} ${run}\n\n`)
  }
  res.end()
  return 'complete'
}

async function handle(req, res) {
  const attempt = req.headers['x-attempt-id'] ?? ''
  const text = await bodyOf(req)
  const echo = { 'X-Attempt-Id': attempt }
  if (req.headers['x-expected-replica'] !== id) {
    res.writeHead(421, { ...echo, 'X-Not-Executed': '1' })
    res.end()
    return
  }
  if (held >= slots + queue) {
    res.writeHead(503, { ...echo, 'X-Not-Executed': '1' })
    res.end()
    return
  }
  held += 1
  runs += 1
  const run = `${born}.${runs}`
  const resumes = req.headers['last-event-id']
  write({ event: 'run', replica: id, version, born, run, attempt, resumes })
  const work = JSON.parse(text)
  const head = { ...echo, 'X-Replica-Signature': `${id}.${run}` }
  if (work.crashAfterMs !== undefined)
    setTimeout(() => {
      write({ event: 'crash', replica: id, run, attempt })
      process.kill(process.pid, 'SIGKILL')
    }, work.crashAfterMs)
  let end
  if (work.events === undefined) {
    await sleep(work.workMs)
    end = res.destroyed ? 'dropped' : 'complete'
    const body = JSON.stringify({ replica: id, run })
    if (!res.destroyed) {
      res.writeHead(200, { ...head, 'Content-Length': body.length })
      res.end(body)
    }
  } else {
    res.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
    res.flushHeaders()
    end = await runStream(req, res, work, run)
  }
  held -= 1
  write({ event: 'run ends', replica: id, run, attempt, end })
}

// Before its end a replica says that it leaves, and serves for a while.
process.on('SIGUSR2', () => {
  state = 'draining'
  register()
})

const server = createServer({ keepAliveTimeout: 30_000 }, (req, res) => {
  handle(req, res).catch(() => res.destroy())
})
server.listen(port, host, 2_048, () => {
  write({ event: 'replica serves', replica: id, version, born })
  setTimeout(() => {
    register()
    setInterval(register, HEARTBEAT_MS)
  }, options.registerAfterMs ?? 0)
})
