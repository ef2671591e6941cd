import assert from 'node:assert/strict'
import { createServer, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { AttemptProgress } from '@auburnbay/core/verdict/attemptProgress'
import { ConnectionPool } from '../connectionPool.js'
import { exchange } from '../exchange.js'
import { listen } from '../listen.js'

const HEAD = 'HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\n'

async function readBodyUntil(end: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', () => {
      socket.write(`${HEAD}part`, () => {
        end(socket)
      })
    })
  })
  const { host, port } = await listen(server, { host: '127.0.0.1', port: 0 })
  const agent = new ConnectionPool(1_000)
  try {
    const response = await exchange({
      url: `http://${host}:${port}`,
      path: '/a/../b',
      method: 'GET',
      headers: ['Host', 'a.example'],
      body: Buffer.alloc(0),
      signal: new AbortController().signal,
      agent,
      limits: { connectTimeoutMs: 5_000, firstByteTimeoutMs: 5_000 },
    })
    if (response.isErr()) return `no response: ${response.error.message}`
    let body = ''
    for await (const chunk of response.value) body += String(chunk)
    return body
  } catch {
    return 'broken'
  } finally {
    agent.destroy()
    server.close()
  }
}

describe('exchange', () => {
  it('reads a body without a length up to the end of the connection', async () => {
    const body = await readBodyUntil((socket) => {
      socket.end()
    })
    assert.equal(body, 'part')
  })

  it('does not report a reset that arrives with the data as the end of the body', async () => {
    // Reset and data arrive together in most attempts.
    for (let i = 0; i < 20; i += 1) {
      const body = await readBodyUntil((socket) => {
        socket.resetAndDestroy()
      })
      assert.notEqual(body, 'part')
    }
  })

  it('fails with nothing written for a port out of range', async () => {
    const agent = new ConnectionPool(1_000)
    const failure = await exchange({
      url: 'http://127.0.0.1:99999',
      method: 'GET',
      headers: [],
      body: Buffer.alloc(0),
      signal: new AbortController().signal,
      agent,
      limits: { connectTimeoutMs: 5_000, firstByteTimeoutMs: 5_000 },
    })
    agent.destroy()
    const { progress } = failure._unsafeUnwrapErr()
    assert.equal(progress, AttemptProgress.NothingWritten)
  })
})
