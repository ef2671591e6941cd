// Stand-in for the platform's store: keyed topics of one partition.
import { createServer } from 'node:http'

class Topic {
  newest = new Map()
  records = []

  get end() {
    return this.records.length
  }

  append(key, value) {
    const keyBytes = Buffer.from(key)
    const head = Buffer.alloc(5)
    head.writeUInt32BE(1 + keyBytes.length + value.length)
    head.writeUInt8(keyBytes.length, 4)
    const offset = this.end
    this.records.push(Buffer.concat([head, keyBytes, value]))
    if (value.length === 0) this.newest.delete(key)
    else this.newest.set(key, { value, offset })
  }

  read(from) {
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(this.end), 0)
    return Buffer.concat([head, ...this.records.slice(from)])
  }
}

async function readAll(req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  return Buffer.concat(chunks)
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

/** Starts a store on a free port of `host`. */
export async function startStore(host) {
  const topics = new Map()
  const topicOf = (name) => {
    if (!topics.has(name)) topics.set(name, new Topic())
    return topics.get(name)
  }
  const put = (topic, key, value) => {
    topicOf(topic).append(key, Buffer.from(JSON.stringify(value)))
  }

  const server = createServer((req, res) => {
    void (async () => {
      const url = new URL(req.url, 'http://store')
      const query = url.searchParams
      const name = query.get('topic') ?? ''
      const topic = topicOf(name)
      const body = await readAll(req)
      // The time that the platform's store takes for an answer.
      await new Promise((resolve) => setTimeout(resolve, 4))
      res.setHeader('Store-Era', '1')
      if (url.pathname === '/v1/log-newest') {
        const items = [...topic.newest].map(([key, { value, offset }]) => ({
          key,
          value: value.toString('base64'),
          offset,
        }))
        const listing = { items, 'has-more': false, 'end-offset': topic.end }
        res.end(JSON.stringify(listing))
      } else if (url.pathname === '/v1/log-read') {
        const from = Number(query.get('from'))
        const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0)
        while (
          topic.end <= from &&
          performance.now() < untilMs &&
          !res.destroyed
        )
          await new Promise((resolve) => setTimeout(resolve, 5))
        if (from > topic.end) res.statusCode = 410
        res.end(from > topic.end ? undefined : topic.read(from))
      } else if (url.pathname === '/v1/log-append') {
        const offset = topic.end
        for (const [key, value] of decode(body)) topic.append(key, value)
        res.end(JSON.stringify({ offset, 'end-offset': topic.end }))
      } else {
        res.statusCode = 404
        res.end()
      }
    })().catch(() => res.destroy())
  })
  await new Promise((resolve) => server.listen(0, host, resolve))
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove: (topic, key) => topicOf(topic).append(key, Buffer.alloc(0)),
    close: () => {
      server.closeAllConnections()
      server.close()
    },
  }
}
