// Stand-in of the platform's store, as PROTOCOL.md describes it: a log with keyed topics.
import { createServer } from 'node:http'

function encode(key, value) {
  const name = Buffer.from(key)
  const head = Buffer.alloc(5)
  head.writeUInt32BE(1 + name.length + value.length)
  head.writeUInt8(name.length, 4)
  return Buffer.concat([head, name, value])
}

function* decode(bytes) {
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at)
    const content = bytes.subarray(at + 4, at + 4 + length)
    const keyLength = content[0]
    yield {
      key: content.subarray(1, 1 + keyLength).toString(),
      value: content.subarray(1 + keyLength),
    }
    at += 4 + length
  }
}

function createTopic() {
  const records = []
  const newest = new Map()
  let waiters = []
  return {
    records,
    newest,
    append(key, value) {
      const offset = records.length
      records.push(encode(key, value))
      if (value.length === 0) newest.delete(key)
      else newest.set(key, { value, offset })
      for (const wake of waiters) wake()
      waiters = []
    },
    changed(ms) {
      return new Promise((resolve) => {
        waiters.push(resolve)
        setTimeout(resolve, ms)
      })
    },
  }
}

const HEARTBEATS_TO_EXPIRY = 3

/** Starts the store; replicas report to it with PUT /standin/servers/ID, which is no part of its protocol. */
export async function startStore(host, heartbeatMs) {
  const topics = new Map()
  const beats = new Map()
  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, createTopic())
    return topics.get(name)
  }

  function remove(id) {
    beats.delete(id)
    if (topicOf('keyed.servers').newest.has(id))
      topicOf('keyed.servers').append(id, Buffer.alloc(0))
  }

  const expiry = setInterval(() => {
    for (const [id, atMs] of beats)
      if (performance.now() - atMs > HEARTBEATS_TO_EXPIRY * heartbeatMs)
        remove(id)
  }, 100)

  function sendNewest(topic, query, res) {
    const after = query.get('after')
    const keys = [...topic.newest.keys()].sort()
    const left = after === null ? keys : keys.filter((key) => key > after)
    const items = left.slice(0, 500).map((key) => {
      const { value, offset } = topic.newest.get(key)
      return { key, value: value.toString('base64'), offset }
    })
    const page = {
      items,
      'has-more': left.length > items.length,
      'end-offset': topic.records.length,
    }
    res.setHeader('Content-Type', 'application/json')
    res.end(JSON.stringify(page))
  }

  async function sendRecords(topic, query, res) {
    const from = Number(query.get('from'))
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0)
    while (topic.records.length <= from && !res.destroyed) {
      const leftMs = untilMs - performance.now()
      if (leftMs <= 0) break
      await topic.changed(leftMs)
    }
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(topic.records.length), 0)
    if (from > topic.records.length) {
      res.statusCode = 410
      res.end(JSON.stringify({ 'first-offset': 0 }))
      return
    }
    res.end(Buffer.concat([head, ...topic.records.slice(from)]))
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const body = Buffer.concat(chunks)
      const url = new URL(req.url, 'http://store')
      const topic = url.searchParams.get('topic') ?? ''
      res.setHeader('Store-Era', '1')
      if (url.pathname.startsWith('/standin/servers/')) {
        const id = url.pathname.slice('/standin/servers/'.length)
        beats.set(id, performance.now())
        topicOf('keyed.servers').append(id, body)
        res.end()
      } else if (url.pathname === '/v1/log-newest')
        sendNewest(topicOf(topic), url.searchParams, res)
      else if (url.pathname === '/v1/log-read')
        void sendRecords(topicOf(topic), url.searchParams, res)
      else if (url.pathname === '/v1/log-append') {
        const offset = topicOf(topic).records.length
        for (const { key, value } of decode(body))
          topicOf(topic).append(key, Buffer.from(value))
        const end = topicOf(topic).records.length
        res.setHeader('Content-Type', 'application/json')
        res.end(JSON.stringify({ offset, 'end-offset': end }))
      } else {
        res.statusCode = 404
        res.end()
      }
    })
  })
  await new Promise((resolve) => server.listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a configuration; the return is the acknowledgement. */
    configure(configuration) {
      const text = JSON.stringify(configuration)
      topicOf('keyed.op').append('config', Buffer.from(text))
    },
    /** Writes an entry among those of the replicas, as another writer. */
    writeEntry(id, entry) {
      topicOf('keyed.servers').append(id, Buffer.from(JSON.stringify(entry)))
    },
    servers: () => [...topicOf('keyed.servers').newest.keys()],
    newest: (topic) =>
      Object.fromEntries(
        [...topicOf(topic).newest].map(([key, { value }]) => [
          key,
          value.toString(),
        ]),
      ),
    close() {
      clearInterval(expiry)
      server.close()
      server.closeAllConnections()
    },
  }
}
