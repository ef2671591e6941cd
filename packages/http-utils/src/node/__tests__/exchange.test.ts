import assert from 'node:assert/strict'
import { createServer, type Socket } from 'node:net'
import { describe, it } from 'node:test'
import { ConnectionPool } from '../connectionPool.js'
import { exchange } from '../exchange.js'
import { listen } from '../listen.js'

const HEAD = 'HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\n'

async function readFrom(end: (socket: Socket) => void): Promise<string> {
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
    const answer = await exchange({
      url: `http://${host}:${port}`,
      path: '/a/../b',
      method: 'GET',
      headers: ['Host', 'a.example'],
      body: Buffer.alloc(0),
      signal: new AbortController().signal,
      agent,
      limits: { connectTimeoutMs: 5_000, firstByteTimeoutMs: 5_000 },
    })
    if (answer.isErr()) return `no answer: ${answer.error.message}`
    let body = ''
    for await (const piece of answer.value) body += String(piece)
    return body
  } catch {
    return 'broken'
  } finally {
    agent.destroy()
    server.close()
  }
}

describe('exchange', () => {
  it('takes the end of the connection for the end of a body without a length', async () => {
    const body = await readFrom((socket) => {
      socket.end()
    })
    assert.equal(body, 'part')
  })

  it('takes no reset that comes with the data for the end of the body', async () => {
    // The reset and the data reach this process together in most tries.
    for (let i = 0; i < 20; i += 1) {
      const body = await readFrom((socket) => {
        socket.resetAndDestroy()
      })
      assert.notEqual(body, 'part')
    }
  })
})
