// Stand-in for the platform's store (PROTOCOL.md): the keyed topics, reads that wait,
// appends of the system, and the entries that replicas write with each heartbeat.
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_200
const SILENT_HEARTBEATS = 3
const OPERATOR_TOPICS = new Set(['keyed.op', 'keyed.servers'])

function encode(key, value) {
  const keyBytes = Buffer.from(key)
  const head = Buffer.alloc(5)
  head.writeUInt32BE(1 + keyBytes.length + value.length)
  head.writeUInt8(keyBytes.length, 4)
  return Buffer.concat([head, keyBytes, value])
}

function decode(bytes) {
  const records = []
  for (let at = 0; at + 5 <= bytes.length;) {
    const end = at + 4 + bytes.readUInt32BE(at)
    const keyEnd = at + 5 + bytes.readUInt8(at + 4)
    records.push([
      bytes.toString('utf8', at + 5, keyEnd),
      Buffer.from(bytes.subarray(keyEnd, end)),
    ])
    at = end
  }
  return records
}

async function bodyOf(req) {
  const pieces = []
  for await (const piece of req) pieces.push(piece)
  return Buffer.concat(pieces)
}

export async function startStore(host, record) {
  const topics = new Map()
  const waiting = new Set()
  const heardAt = new Map()

  function topicOf(name) {
    const topic = topics.get(name) ?? { records: [], newest: new Map() }
    topics.set(name, topic)
    return topic
  }

  function append(name, key, value) {
    const topic = topicOf(name)
    const offset = topic.records.length
    topic.records.push(encode(key, value))
    if (value.length === 0) topic.newest.delete(key)
    else topic.newest.set(key, { value, offset })
    for (const wake of [...waiting]) wake()
    return offset
  }

  function sendNewest(topic, after, res) {
    const keys = [...topic.newest.keys()].sort()
    const rest = keys.filter((key) => after === null || key > after)
    const items = rest.slice(0, 500).map((key) => {
      const { value, offset } = topic.newest.get(key)
      return { key, value: value.toString('base64'), offset }
    })
    const listing = {
      items,
      'has-more': rest.length > items.length,
      'end-offset': topic.records.length,
    }
    res.end(JSON.stringify(listing))
  }

  async function sendRecords(topic, query, res) {
    const from = Number(query.get('from'))
    if (from > topic.records.length) {
      res.writeHead(410)
      res.end('{"first-offset":0}')
      return
    }
    const until = Date.now() + Number(query.get('wait-ms') ?? 0)
    while (topic.records.length <= from && Date.now() < until)
      await new Promise((resolve) => {
        const timer = setTimeout(wake, until - Date.now())
        function wake() {
          clearTimeout(timer)
          waiting.delete(wake)
          resolve()
        }
        waiting.add(wake)
      })
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(topic.records.length), 0)
    const maxBytes = Number(query.get('max-kb') ?? 1_024) * 1_024
    const page = []
    let bytes = 0
    for (let at = from; at < topic.records.length; at += 1) {
      bytes += topic.records[at].length
      if (bytes > maxBytes && page.length > 0) break
      page.push(topic.records[at])
    }
    const next = from + page.length
    const end = topic.records.length
    // A page that ends before the end of the log.
    if (next < end)
      record({ event: 'page', topic: query.get('topic'), from, next, end })
    res.end(Buffer.concat([head, ...page]))
  }

  async function handle(req, res) {
    const body = await bodyOf(req)
    const { pathname, searchParams: query } = new URL(req.url, 'http://store')
    res.setHeader('Store-Era', '0')
    const name = query.get('topic') ?? ''
    if (pathname === '/stand-in/entry') {
      // Not a call of the system: a replica registers itself.
      const id = query.get('id')
      heardAt.set(id, Date.now())
      const entry = JSON.parse(body)
      const before = topicOf('keyed.servers').newest.get(id)
      const known = before ? JSON.parse(before.value) : undefined
      append('keyed.servers', id, body)
      const state = entry['replica-state']
      const isNews =
        known?.born !== entry.born ||
        known.version !== entry.version ||
        known['replica-state'] !== state
      if (isNews) {
        const { born, version } = entry
        record({ event: 'entry', id, born, version, state })
      }
      res.end('{}')
      return
    }
    if (pathname === '/v1/log-newest')
      sendNewest(topicOf(name), query.get('after'), res)
    else if (pathname === '/v1/log-read')
      await sendRecords(topicOf(name), query, res)
    else if (pathname === '/v1/log-append') {
      if (OPERATOR_TOPICS.has(name)) res.writeHead(403)
      else for (const [key, value] of decode(body)) append(name, key, value)
      res.end('{}')
    } else {
      res.writeHead(404)
      res.end('{}')
    }
  }

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy())
  })
  await new Promise((resolve) => server.listen(0, host, resolve))
  const expiry = setInterval(() => {
    for (const [id, at] of heardAt) {
      if (Date.now() - at < SILENT_HEARTBEATS * HEARTBEAT_MS) continue
      heardAt.delete(id)
      append('keyed.servers', id, Buffer.alloc(0))
      record({ event: 'entry removed', id })
    }
  }, 50)

  return {
    address: `${host}:${server.address().port}`,
    /** The operator writes; the return is the acknowledgement. */
    put(key, value) {
      append('keyed.op', key, Buffer.from(JSON.stringify(value)))
      record({ event: 'operator', key, version: value.version })
    },
    close() {
      clearInterval(expiry)
      server.closeAllConnections()
      server.close()
    },
  }
}
