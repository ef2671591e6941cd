import assert from 'node:assert/strict'
import { createServer as createHttpServer, get } from 'node:http'
import { createServer } from 'node:net'
import { describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import fc from 'fast-check'
import { createBodyReader } from '../createBodyReader.js'
import { createBufferBudget } from '../createBufferBudget.js'
import { createByteCollector } from '../createByteCollector.js'
import { createReadPacer } from '../createReadPacer.js'
import { listen } from '../listen.js'
import { BodyError, readBody } from '../readBody.js'

const LOCAL = { host: '127.0.0.1', port: 0 }
const PIECES = 20_000
/** Old space of a thread that gathers 40 MB, which itself lies outside of it. */
const HEAP_MB = 24

function cut(bytes: Buffer, lengths: readonly number[]): Buffer[] {
  const pieces: Buffer[] = []
  let at = 0
  for (const length of lengths) {
    pieces.push(bytes.subarray(at, at + length))
    at += length
  }
  pieces.push(bytes.subarray(at))
  return pieces
}

/** Guards against a heap that fills with the pieces of a body (issue 44, review/3). */
describe('a body in small pieces', () => {
  it('is gathered whole whatever the pieces are', () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 65_536 }), {
      maxLength: 40,
    })
    const bytes = Buffer.from(Array.from({ length: 200_000 }, (_, i) => i))
    fc.assert(
      fc.property(lengths, fc.integer({ min: 1, max: 64 }), (large, small) => {
        const collector = createByteCollector()
        const repeated = new Array<number>(500).fill(small)
        for (const piece of cut(bytes, [...repeated, ...large]))
          collector.add(piece)
        assert.equal(collector.length, bytes.length)
        assert.ok(collector.take().equals(bytes))
        assert.equal(collector.length, 0)
      }),
    )
  })

  it('takes memory for its bytes, not for its pieces', async () => {
    const worker = new Worker(new URL('./gatherPieces.js', import.meta.url), {
      resourceLimits: { maxOldGenerationSizeMb: HEAP_MB },
    })
    const bytes = await new Promise<unknown>((resolve, reject) => {
      worker.once('message', resolve)
      worker.once('error', reject)
    })
    assert.equal(bytes, 10 * 4 * 1024 * 1024)
  })

  it('is passed on once for each read', async () => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
      socket.write('1\r\nx\r\n'.repeat(PIECES))
      socket.end('0\r\n\r\n')
    })
    const { port } = await listen(server, LOCAL)
    let calls = 0
    let bytes = 0
    const complete = await new Promise<boolean>((resolve, reject) => {
      get({ port, agent: false }, (res) => {
        createBodyReader(res, {
          onData(data) {
            calls += 1
            bytes += data.length
          },
          onEnd: resolve,
          onException: reject,
        })
      })
    })
    server.close()
    assert.ok(complete)
    assert.equal(bytes, PIECES)
    assert.ok(calls < PIECES / 100, `${calls} calls`)
  })

  it('is not read on while its reader is paused', async () => {
    let written = 0
    const server = createHttpServer((_req, res) => {
      const writeOn = (): void => {
        for (let i = 0; i < 16; i += 1) {
          res.write('x'.repeat(16_384))
          written += 16_384
        }
      }
      res.on('drain', writeOn)
      writeOn()
    })
    const { port } = await listen(server, LOCAL)
    let received = 0
    await new Promise<void>((resolve) => {
      const req = get({ port, agent: false }, (res) => {
        const reader = createBodyReader(res, {
          onData(data) {
            received += data.length
            reader.pause()
            setTimeout(() => {
              reader.stop()
              req.destroy()
              resolve()
            }, 100)
          },
          onEnd: () => undefined,
          onException: () => undefined,
        })
      })
    })
    server.closeAllConnections()
    server.close()
    assert.ok(written > received)
    assert.ok(received <= 2 * 65_536, `${received} bytes`)
  })

  it('fails its request alone when the memory for bodies is in use', async () => {
    const budget = createBufferBudget(200_000)
    const server = createHttpServer((_req, res) => {
      res.end('x'.repeat(150_000))
    })
    const { port } = await listen(server, LOCAL)
    const read = (): Promise<BodyError | undefined> =>
      new Promise((resolve) => {
        get({ port, agent: false }, (res) => {
          void readBody(res, 1e6, { lease: budget.lease() }).then((body) => {
            res.destroy()
            resolve(body.isErr() ? body.error : undefined)
          })
        })
      })
    const results = await Promise.all([read(), read(), read()])
    server.closeAllConnections()
    server.close()
    assert.ok(results.includes(BodyError.NoRoom))
    assert.ok(results.includes(undefined))
    assert.ok(budget.usedBytes <= 200_000)
  })
})

describe('createBufferBudget', () => {
  it('never exceeds its limit and is empty when all leases have ended', () => {
    fc.assert(
      fc.property(fc.array(fc.array(fc.nat(200_000))), (requests) => {
        const budget = createBufferBudget(500_000)
        const leases = requests.map((growths) => {
          const lease = budget.lease()
          for (const bytes of growths) lease.tryGrow(bytes)
          assert.ok(budget.usedBytes <= 500_000)
          return lease
        })
        for (const lease of leases) {
          lease.end()
          assert.ok(!lease.tryGrow(200_000))
        }
        assert.equal(budget.usedBytes, 0)
      }),
    )
  })
})

describe('createReadPacer', () => {
  it('limits the pieces of all connections together', () => {
    const read = 10_000
    for (const connections of [1, 5, 50]) {
      const pacer = createReadPacer()
      let restMs = 0
      for (let i = 0; i < connections; i += 1) restMs = pacer.begin(read)
      assert.ok((connections * read) / restMs <= 200)
    }
  })
})
