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

describe('a small call', () => {
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

  const call = () => requestBytes({ method: 'GET', url, timeoutMs: TIMEOUT_MS })

  /** Resolves once what was written has gone through the sockets. */
  async function flush(res: ServerResponse, piece: string): Promise<void> {
    await new Promise<void>((resolve) => {
      res.write(piece, () => {
        resolve()
      })
    })
    for (let turn = 0; turn < 50; turn += 1)
      await new Promise((resolve) => setImmediate(resolve))
  }

  async function begin() {
    const asked = once(server, 'request') as Promise<[unknown, ServerResponse]>
    const reply = call()
    const [, res] = await asked
    return { reply, res }
  }

  it('takes a long answer over a narrow link', async () => {
    const { reply, res } = await begin()
    for (let piece = 0; piece < 4; piece += 1) {
      await flush(res, 'piece')
      mock.timers.tick(0.9 * TIMEOUT_MS)
    }
    res.end()
    const answer = await reply
    assert.equal(answer._unsafeUnwrap().body.toString(), 'piece'.repeat(4))
  })

  it('is given up when the answer stands still', async () => {
    const { reply, res } = await begin()
    await flush(res, 'piece')
    mock.timers.tick(TIMEOUT_MS)
    assert.ok((await reply).isErr())
  })

  it('is given up when no answer begins', async () => {
    const { reply } = await begin()
    mock.timers.tick(TIMEOUT_MS)
    assert.ok((await reply).isErr())
  })

  it('is given up in the end, however steadily bytes come', async () => {
    const { reply, res } = await begin()
    for (let piece = 0; piece < 6; piece += 1) {
      await flush(res, 'piece')
      mock.timers.tick(0.9 * TIMEOUT_MS)
    }
    assert.ok((await reply).isErr())
  })
})
