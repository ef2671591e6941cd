// Model replicas in a process of their own; one of them may spoil its streams.
import { Buffer } from 'node:buffer'
import { startReplica } from './replica.mjs'

const [net] = process.argv.slice(2)
const ENGINES = 3
const EVENTS = 20
const EVENT_MS = 25
/** Bytes of the data in each chunk of a spoiled stream, as of a few tokens. */
const CHUNK_BYTES = 16
/** Streams that are spoiled at most. */
const MAX_SPOILED = 10
const BATCH_BYTES = 256 * 1024

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
let isFaulty = false
let spoiled = 0

process.on('message', (message) => {
  isFaulty = message.isFaulty
})
process.on('disconnect', () => process.exit(0))

/** Sends data without the end of an event until the caller closes. */
function sendWithoutEnd({ socket }) {
  const chunk = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`
  const batch = Buffer.from(chunk.repeat(Math.ceil(BATCH_BYTES / chunk.length)))
  const pump = () => {
    if (!socket.destroyed) socket.write(batch, () => setImmediate(pump))
  }
  pump()
}

async function respond({ req, res, signed, run }, index) {
  res.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream' })
  if (index === 0 && isFaulty && spoiled < MAX_SPOILED) {
    spoiled += 1
    process.send({ line: `i-engine-0 spoils the stream of ${run.id}` })
    res.write('id: 1\ndata: ')
    const closed = new Promise((resolve) => {
      req.socket.once('close', resolve)
    })
    sendWithoutEnd(req)
    await closed
    process.send({ line: `the router has closed the stream of ${run.id}` })
    return true
  }
  for (let event = 1; event <= EVENTS && !res.destroyed; event += 1) {
    res.write(`id: ${event}\ndata: tokens\n\n`)
    await sleep(EVENT_MS)
  }
  res.end()
  return true
}

const entries = []
for (let index = 0; index < ENGINES; index += 1) {
  const { id, entry } = await startReplica(
    `${net}.${120 + index}`,
    `i-engine-${index}`,
    {
      service: 'engines',
      slots: 64,
      respond: (call) => respond(call, index),
    },
  )
  entries.push({ id, entry })
}
process.send({ entries })
