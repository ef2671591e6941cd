import assert from 'node:assert/strict'
import {
  Agent,
  createServer,
  request,
  type Server,
  type ServerResponse,
} from 'node:http'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { closeServer, listen } from '@auburnbay/http-utils/listen'
import { type ConnectionLimits, limitConnections } from '../limitConnections.js'

const BOUNDS = {
  maxConnections: 10,
  maxRequests: 10,
  maxBytes: 1_000_000,
  maxHeadBytes: 2_000,
}
/** Longer than the interval of the checks of heads. */
const CHECKED_MS = 250

describe('limitConnections', () => {
  let server: Server
  let limits: ConnectionLimits
  let port: number
  const closed: string[] = []
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })

  before(async () => {
    server = createServer((req, res) => {
      req.resume()
      req.on('end', () => res.end('ok'))
    })
    limits = limitConnections(server, {
      bounds: BOUNDS,
      onClosed: (reason) => closed.push(reason),
      now: () => performance.now(),
    })
    port = (await listen(server, { host: '127.0.0.1', port: 0 })).port
  })
  after(async () => {
    agent.destroy()
    limits.stop()
    await closeServer(server)
  })

  function send(bytes: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const req = request({ port, agent, method: 'POST' }, (res) => {
        const { localPort = 0 } = res.socket
        res.resume()
        res.on('end', () => {
          resolve(localPort)
        })
      })
      req.on('error', reject)
      req.end(Buffer.alloc(bytes))
    })
  }

  // Guards against connections in use that are closed for the bytes of requests that have ended.
  it('does not count the bytes of requests that have ended as a head', async () => {
    const ports = new Set<number>()
    for (let i = 0; i < 5; i += 1) ports.add(await send(BOUNDS.maxHeadBytes))
    await new Promise((resolve) => setTimeout(resolve, CHECKED_MS))
    ports.add(await send(1))
    assert.deepEqual(closed, [])
    assert.equal(ports.size, 1)
    assert.equal(limits.use.requests, 0)
  })
})

describe('a connection whose waiting requests are dropped', () => {
  let server: Server
  let limits: ConnectionLimits
  let port: number
  const heads: ServerResponse[] = []

  before(async () => {
    server = createServer((_req, res) => {
      limits.submit(res, () => {
        res.writeHead(200, { 'Content-Length': 2 }).flushHeaders()
        heads.push(res)
      })
    })
    limits = limitConnections(server, {
      bounds: BOUNDS,
      onClosed: () => undefined,
      now: () => performance.now(),
    })
    port = (await listen(server, { host: '127.0.0.1', port: 0 })).port
  })
  after(async () => {
    limits.stop()
    await closeServer(server)
  })

  async function waitForHeads(count: number): Promise<void> {
    while (heads.length < count)
      await new Promise((resolve) => setTimeout(resolve, 5))
  }

  // Guards against connections that stay open, without a response, for the requests that were dropped.
  it('ends after the responses to those that ran, though their heads were sent', async () => {
    const ahead = connect(port, '127.0.0.1')
    let received = ''
    ahead.on('data', (bytes) => (received += String(bytes)))
    const ended = new Promise((resolve) => ahead.once('close', resolve))
    ahead.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(BOUNDS.maxRequests))
    // Three quarters of the requests may run at once for connections with several.
    const ran = Math.ceil((3 / 4) * BOUNDS.maxRequests) - 1
    await waitForHeads(ran)
    const other = connect(port, '127.0.0.1')
    other.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n')
    await waitForHeads(ran + 1)
    for (const res of heads) res.end('ok')
    await ended
    assert.equal(received.split('HTTP/1.1 200').length - 1, ran)
    other.destroy()
  })
})
