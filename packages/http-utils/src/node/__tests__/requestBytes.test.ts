import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import {
  after,
  afterEach,
  before,
  beforeEach,
  describe,
  it,
  mock,
} from 'node:test'
import { closeServer, formatAddress, listen } from '../listen.js'
import { requestBytes } from '../requestBytes.js'

const TIMEOUT_MS = 1_000

describe('requestBytes', () => {
  const server = createServer()
  let url = ''

  before(async () => {
    const address = await listen(server, { host: '127.0.0.1', port: 0 })
    url = `http://${formatAddress(address)}/`
  })
  after(() => {
    server.closeAllConnections()
    return closeServer(server)
  })
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] })
  })
  afterEach(() => {
    mock.timers.reset()
  })

  const sendRequest = () =>
    requestBytes({ method: 'GET', url, timeoutMs: TIMEOUT_MS })

  /** Writes a chunk and resolves once the client has received it. */
  async function writeChunk(res: ServerResponse, chunk: string): Promise<void> {
    await new Promise<void>((resolve) => {
      res.write(chunk, () => {
        resolve()
      })
    })
    for (let turn = 0; turn < 50; turn += 1)
      await new Promise((resolve) => setImmediate(resolve))
  }

  async function receiveRequest() {
    const received = once(server, 'request') as Promise<
      [unknown, ServerResponse]
    >
    const pending = sendRequest()
    const [, res] = await received
    return { pending, res }
  }

  it('allows a response that takes longer than the timeout while bytes arrive', async () => {
    const { pending, res } = await receiveRequest()
    for (let i = 0; i < 4; i += 1) {
      await writeChunk(res, 'chunk')
      mock.timers.tick(0.9 * TIMEOUT_MS)
    }
    res.end()
    const response = await pending
    assert.equal(response._unsafeUnwrap().body.toString(), 'chunk'.repeat(4))
  })

  it('aborts when the response stalls', async () => {
    const { pending, res } = await receiveRequest()
    await writeChunk(res, 'chunk')
    mock.timers.tick(TIMEOUT_MS)
    assert.ok((await pending).isErr())
  })

  it('aborts when no response starts', async () => {
    const { pending } = await receiveRequest()
    mock.timers.tick(TIMEOUT_MS)
    assert.ok((await pending).isErr())
  })

  it('aborts after the maximum duration even while bytes arrive', async () => {
    const { pending, res } = await receiveRequest()
    for (let i = 0; i < 6; i += 1) {
      await writeChunk(res, 'chunk')
      mock.timers.tick(0.9 * TIMEOUT_MS)
    }
    assert.ok((await pending).isErr())
  })

  it('fails for a port out of range', async () => {
    const url = 'http://127.0.0.1:99999'
    const timeoutMs = TIMEOUT_MS
    assert.ok((await requestBytes({ method: 'GET', url, timeoutMs })).isErr())
  })
})
